package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// firstStep is the number of requests to the new version before any answer was judged. For each answer that
	// was judged, stepGrowth more are allowed.
	firstStep  = 12
	stepGrowth = 2
	// shareHorizon is the number of requests over which what is left of the limit is used, relative to those since
	// the order.
	shareHorizon = 0.5
	// maxShareFactor bounds the part of the requests that is sent to the new version at a time, as a multiple of
	// Bounds.Share: the few targets that are probed should have about as many requests as the others. Up to sparseRate
	// requests a second are no load.
	maxShareFactor = 1.5
	sparseRate     = 6
	// lateSlack is the part of the slack that is kept for the end of the probing, so that faults that show late are
	// found with little traffic, too. It is released evenly over the time.
	lateSlack = 0.5
	// shareInterval is the time between two computations of the routes' shares.
	shareInterval = 200 * time.Millisecond
)

// Report takes over a host's report, and returns its quota, or false if this decider issues none.
func (c *Controller) Report(host core.HostID, r core.RolloutReport, now time.Duration) (core.RolloutQuota, bool) {
	if !c.Leads() || r.Order != c.record.Order {
		return core.RolloutQuota{}, false
	}
	h := c.ledger.record(host, &r, now)
	quota := core.RolloutQuota{Pool: r.Pool, Order: r.Order}
	limit := uint64(0)
	if c.record.Phase == core.RolloutProbing && c.against == nil && now-c.changeAt < fenceTime {
		limit = c.limit()
	}
	issued := c.ledger.grant(h, limit, c.record.Carried, now)
	quota.Lease, quota.Granted = issued.number, issued.granted
	if now-c.sharedAt >= shareInterval || c.sharedAt == 0 {
		c.sharedAt = now
		c.share(limit, now)
	}
	quota.Shares, quota.DefaultShare = c.shared, c.fraction
	return quota, true
}

// limit returns the number of requests to the new version up to which quotas are issued now. It grows step by step
// with the answers that were judged, so that a version that is bad at once gets few.
func (c *Controller) limit() uint64 {
	judged := c.ledger.sum.judged
	step := c.record.Carried + firstStep + stepGrowth*judged
	held := uint64(lateSlack * slackMargin * c.bounds.Slack * (1 - c.progress))
	allowed := c.reservable()
	return min(c.record.Reserved, step, allowed-min(held, allowed))
}

// share sets the fractions of the routes' requests that are sent to the new version. What is left is used up over
// the next requests as fast as the routes allow.
func (c *Controller) share(limit uint64, now time.Duration) {
	c.fraction, c.shared = 0, nil
	if limit == 0 {
		return
	}
	left := float64(limit) - float64(c.ledger.used())
	seen := float64(c.ledger.seen())
	most := maxShare
	if elapsed := (now - c.beganAt).Seconds(); elapsed > 0 {
		most = min(max(maxShareFactor*c.bounds.Share, sparseRate*elapsed/max(seen, 1)), maxShare)
	}
	c.fraction = min(max(left/(seen*shareHorizon+1), c.bounds.Share), most)
	c.shared = spread(c.ledger.byRoute, c.fraction)
}
