package pool

import (
	"math"
	"time"
)

// rate measures how many requests per second leave the queue while requests wait.
type rate struct {
	since     time.Time // when requests began to wait; zero if none do
	updated   time.Time
	perSecond float64
}

// SetWaiting records whether requests wait now. The measurement starts again when requests
// begin to wait.
func (r *rate) SetWaiting(waiting bool, now time.Time) {
	if !waiting {
		r.since = time.Time{}
		return
	}
	if r.since.IsZero() {
		*r = rate{since: now, updated: now}
	}
}

// RecordGrants counts requests that left the queue with a ticket.
func (r *rate) RecordGrants(count int, now time.Time) {
	if r.since.IsZero() {
		return
	}
	r.decay(now)
	r.perSecond += float64(count) / rateTimeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.updated).Seconds()
	if passed <= 0 {
		return
	}
	r.perSecond *= math.Exp(-passed / rateTimeConstant.Seconds())
	r.updated = now
}

// EstimateWait estimates how long it takes until the given number of requests have left
// the queue. It returns false if requests have not waited for minRatePeriod, or none has
// left.
func (r *rate) EstimateWait(requests int, now time.Time) (time.Duration, bool) {
	if r.since.IsZero() || now.Sub(r.since) < minRatePeriod {
		return 0, false
	}
	r.decay(now)
	measured := now.Sub(r.since).Seconds()
	perSecond := r.perSecond / (1 - math.Exp(-measured/rateTimeConstant.Seconds()))
	if perSecond <= 0 {
		return maxRetryAfter, false
	}
	seconds := math.Min(float64(requests)/perSecond, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}
