package ratelimit

import "time"

// Supply is what the targets of a pool together can take.
type Supply struct {
	Available int           // permits that can be used now
	Rate      float64       // permits per second
	NextIn    time.Duration // until the next permit after the available ones
}

// Until returns the time until n permits have been issued.
func (s Supply) Until(n int) time.Duration {
	switch further := n - s.Available - 1; {
	case further < 0:
		return 0
	case s.Rate <= 0:
		return maxWait
	default:
		return min(s.NextIn+time.Duration(float64(further)/s.Rate*float64(time.Second)), maxWait)
	}
}
