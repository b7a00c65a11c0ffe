package forecast

import "time"

const (
	minZ        = 1.5  // standard deviations kept free when nothing goes wrong
	maxZ        = 5.0  // bounds the capacity that errors of the forecast can cost
	startZ      = 2.5  // before anything has been measured
	raisePerHit = 0.25 // standard deviations added by one preemption
	fallPerHour = 2.0  // standard deviations given back in an hour without preemptions
)

// Safety adapts the number of standard deviations that the forecast keeps free to the
// preemptions that are seen. The zero value is not usable.
type Safety struct {
	z      float64
	fellAt time.Time
}

// NewSafety returns the margin used before anything has been measured.
func NewSafety() Safety { return Safety{z: startZ} }

// Z returns the number of standard deviations to keep free.
func (s *Safety) Z() float64 { return s.z }

// Preempted raises the margin after the given number of preemptions.
func (s *Safety) Preempted(count uint64) {
	s.z = min(s.z+raisePerHit*float64(min(count, 20)), maxZ)
}

// Pass lowers the margin by the time that has passed.
func (s *Safety) Pass(now time.Time) {
	if !s.fellAt.IsZero() && now.After(s.fellAt) {
		s.z = max(s.z-fallPerHour*now.Sub(s.fellAt).Hours(), minZ)
	}
	s.fellAt = now
}
