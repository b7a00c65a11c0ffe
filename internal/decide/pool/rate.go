package pool

import (
	"math"
	"time"
)

// rate measures how many requests a second leave the queue while requests wait.
type rate struct {
	since     time.Time // when requests began to wait; zero while none do
	updated   time.Time
	perSecond float64
}

// Waiting tells the rate whether requests wait now.
func (r *rate) Waiting(waiting bool, now time.Time) {
	if !waiting {
		r.since = time.Time{}
		return
	}
	if r.since.IsZero() {
		*r = rate{since: now, updated: now}
	}
}

// Served counts requests that left the queue with a ticket.
func (r *rate) Served(count int, now time.Time) {
	if r.since.IsZero() {
		return
	}
	r.decay(now)
	r.perSecond += float64(count) / rateMemory.Seconds()
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.updated).Seconds()
	if passed <= 0 {
		return
	}
	r.perSecond *= math.Exp(-passed / rateMemory.Seconds())
	r.updated = now
}

// Wait estimates how long the given number of requests take to leave the queue. It
// returns false while there is not enough evidence.
func (r *rate) Wait(requests int, now time.Time) (time.Duration, bool) {
	if r.since.IsZero() || now.Sub(r.since) < rateEvidence {
		return 0, false
	}
	r.decay(now)
	measured := now.Sub(r.since).Seconds()
	perSecond := r.perSecond / (1 - math.Exp(-measured/rateMemory.Seconds()))
	if perSecond <= 0 {
		return maxRetryAfter, false
	}
	seconds := math.Min(float64(requests)/perSecond, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}
