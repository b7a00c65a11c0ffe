package placement

import (
	"math"
	"time"
)

// failureHalfLife is the time in which a failure rate halves without new outcomes. It
// decays with time because a target that gets no requests has to be tried again.
const failureHalfLife = 2 * time.Second

// rate is a failure rate in which newer outcomes count more.
type rate struct {
	value     float64 // 0 to 1, as of updatedAt
	updatedAt time.Duration
}

// at returns the rate decayed to the given time.
func (r *rate) at(now time.Duration) float64 {
	return r.value * math.Exp2(-float64(max(now-r.updatedAt, 0))/float64(failureHalfLife))
}

// add adds one outcome with the given weight between 0 and 1.
func (r *rate) add(failed bool, weight float64, now time.Duration) {
	r.value, r.updatedAt = r.at(now)*(1-weight), max(now, r.updatedAt)
	if failed {
		r.value += weight
	}
}
