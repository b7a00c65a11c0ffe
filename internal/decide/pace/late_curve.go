package pace

import (
	"math"
	"time"
)

const (
	// lateBuckets is the number of buckets by forecast pause; the last one holds all longer pauses.
	lateBuckets = 14
	// lateBucketShare is the share of the goal that a bucket spans.
	lateBucketShare = 0.1
	// latePrior is the number of events that the prior share of late pauses counts as, in each bucket.
	latePrior = 30
	// lateHalfLife is the time in which what was seen loses half of its weight. Late pauses are rare.
	lateHalfLife = 30 * time.Second
)

// lateCurve is the share of pauses over the goal as a function of the forecast mean pause. It learns how far single
// pauses exceed the mean, for instance because hosts get little processor time.
type lateCurve struct {
	events, late [lateBuckets]float64
	shares       [lateBuckets]float64 // as of the last refresh
	at           time.Duration
}

func newLateCurve(now time.Duration) lateCurve {
	c := lateCurve{at: now}
	c.refresh(now)
	return c
}

// lateBucket returns the bucket of a forecast pause, as a share of the goal.
func lateBucket(pause float64) int {
	return min(max(int(pause/lateBucketShare), 0), lateBuckets-1)
}

// add adds events under a forecast pause, as a share of the goal.
func (c *lateCurve) add(pause float64, events, late int) {
	bucket := lateBucket(pause)
	c.events[bucket] += float64(events)
	c.late[bucket] += float64(late)
}

// refresh ages what was seen and computes the shares anew. A longer forecast pause never has a smaller share.
func (c *lateCurve) refresh(now time.Duration) {
	f := math.Exp2(-float64(max(now-c.at, 0)) / float64(lateHalfLife))
	c.at = max(now, c.at)
	for i := range lateBuckets {
		c.events[i], c.late[i] = c.events[i]*f, c.late[i]*f
		c.shares[i] = (c.late[i] + latePrior*priorLate(i)) / (c.events[i] + latePrior)
	}
	raise(c.shares[:], func(i int) float64 { return c.events[i] + latePrior })
}

// priorLate is the share of late pauses in a bucket of which nothing was seen: none up to 0.8 of the goal, all from
// the goal on.
func priorLate(bucket int) float64 {
	return min(max((float64(bucket)*lateBucketShare-0.7)/0.3, 0), 1)
}

// share returns the share of late pauses under a forecast pause, as a share of the goal.
func (c *lateCurve) share(pause float64) float64 { return c.shares[lateBucket(pause)] }
