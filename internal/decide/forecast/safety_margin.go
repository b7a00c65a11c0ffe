package forecast

const (
	startZ       = 2.2   // standard deviations kept free before anything has been measured
	minZ         = 1.5   // bounds how far luck can lower the margin
	maxZ         = 2.6   // bounds the capacity that errors of the forecast can cost
	raisePerHit  = 0.02  // standard deviations added by one report of preemptions
	acceptedHits = 0.007 // reports of preemptions for each completed stream that the margin aims at
)

// SafetyMargin adapts the number of standard deviations that the forecast keeps free, so that
// preemptions become a small share of the completed streams.
type SafetyMargin struct {
	z float64
}

// NewSafetyMargin returns the margin used before anything has been measured.
func NewSafetyMargin() SafetyMargin { return SafetyMargin{z: startZ} }

// Z returns the number of standard deviations to keep free.
func (s *SafetyMargin) Z() float64 { return s.z }

// RecordPreemption raises the margin after a report of preemptions. Their number does not count:
// an engine that is too full preempts the same stream again and again.
func (s *SafetyMargin) RecordPreemption() {
	s.z = min(s.z+raisePerHit, maxZ)
}

// RecordCompletion lowers the margin a little after a stream that has completed while requests
// waited for memory. A target that is not full shows nothing about the margin.
func (s *SafetyMargin) RecordCompletion() {
	s.z = max(s.z-raisePerHit*acceptedHits, minZ)
}
