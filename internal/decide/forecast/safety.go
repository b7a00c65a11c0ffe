package forecast

const (
	startZ         = 2.2   // standard deviations kept free before anything has been measured
	minZ           = -1.0  // bounds how far luck can lower the margin
	maxZ           = 4.0   // bounds the capacity that errors of the forecast can cost
	raisePerHit    = 0.05  // standard deviations added by one preemption
	acceptedHits   = 0.005 // preemptions for each completed stream that the margin aims at
	maxHitsAtATime = 2     // bounds what one report can raise
)

// Safety adapts the number of standard deviations that the forecast keeps free, so that
// preemptions become a small share of the completed streams.
type Safety struct {
	z float64
}

// NewSafety returns the margin used before anything has been measured.
func NewSafety() Safety { return Safety{z: startZ} }

// Z returns the number of standard deviations to keep free.
func (s *Safety) Z() float64 { return s.z }

// Preempted raises the margin after the given number of preemptions.
func (s *Safety) Preempted(count uint64) {
	s.z = min(s.z+raisePerHit*float64(min(count, maxHitsAtATime)), maxZ)
}

// Completed lowers the margin a little after a stream that has completed while requests
// waited for memory. A target that is not full shows nothing about the margin.
func (s *Safety) Completed() {
	s.z = max(s.z-raisePerHit*acceptedHits, minZ)
}
