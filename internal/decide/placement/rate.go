package placement

import (
	"math"
	"time"
)

// failureHalfLife is the time in which a failure rate that nothing adds to halves: a
// target that gets no requests has to be tried again.
const failureHalfLife = 2 * time.Second

// rate is a failure rate in which newer outcomes count more.
type rate struct {
	value float64 // 0 to 1 as of noted
	noted time.Duration
}

// at returns the rate as it counts now.
func (r *rate) at(now time.Duration) float64 {
	return r.value * math.Exp2(-float64(max(now-r.noted, 0))/float64(failureHalfLife))
}

// note adds outcomes, each of which makes up a part of the rate.
func (r *rate) note(failed bool, weight float64, now time.Duration) {
	r.value, r.noted = r.at(now)*(1-weight), max(now, r.noted)
	if failed {
		r.value += weight
	}
}
