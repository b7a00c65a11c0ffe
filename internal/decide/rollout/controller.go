package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// takeoverTime is how long a record of an active rollout stays unchanged until another decider takes over.
	takeoverTime = 2 * time.Second
	// fenceTime is how long a decider grants quotas after it has last seen a write of its own in the store. It is
	// below takeoverTime, so that a decider which cannot reach the store stops before another one starts.
	fenceTime = 1500 * time.Millisecond
	// renewInterval is the time between two writes of the record of an active rollout.
	renewInterval = 500 * time.Millisecond
)

// Controller decides on the rollouts of one pool. It must be used by one goroutine only. Hosts that do not decide
// only pass records to it.
type Controller struct {
	self   string
	bounds Bounds

	known    bool
	record   core.RolloutRecord
	changeAt time.Duration // when the record was last seen to have changed

	ledger   *ledger
	judge    *judge
	against  *finding      // what speaks against the new version; the rollout is being rolled back
	progress float64       // part of the time for probing that has passed
	beganAt  time.Duration // when this decider began to decide on the order
	shiftAt  time.Duration
	shared   map[core.RouteID]float64
	fraction float64
	sharedAt time.Duration // when shared and fraction were set
}

// NewController returns a controller for a decider whose name is never given out again.
func NewController(self string, bounds Bounds) *Controller {
	return &Controller{self: self, bounds: bounds, ledger: newLedger(0), judge: newJudge()}
}

// Record returns the pool's record, or false if none is known.
func (c *Controller) Record() (core.RolloutRecord, bool) { return c.record, c.known }

// Leads reports whether this decider decides on an active rollout.
func (c *Controller) Leads() bool {
	return c.known && c.record.Phase.Active() && c.record.Decider == c.self
}

// Adopt takes over a record from the store or from another host, unless a newer one is known. It reports whether
// the record is new.
func (c *Controller) Adopt(r core.RolloutRecord, now time.Duration) bool {
	if c.known && r.Sequence <= c.record.Sequence {
		return false
	}
	former := c.record
	c.record, c.changeAt = r, now
	if !c.known || former.Order != r.Order && !sameOrder(former, r) || former.Decider != r.Decider {
		c.ledger, c.judge, c.against, c.beganAt, c.progress = newLedger(now), newJudge(), nil, now, 0
	}
	if r.Phase == core.RolloutShifting && former.Phase != core.RolloutShifting {
		c.shiftAt = now
	}
	c.known = true
	return true
}

// sameOrder reports whether the order of a record was only written again after the store was restored.
func sameOrder(former, r core.RolloutRecord) bool {
	return former.To == r.To && r.Order.Era > former.Order.Era
}

// Next returns the record to write now, or nil. The caller passes it to Adopt once it is in the store, or calls Next
// again if the write failed.
func (c *Controller) Next(s Situation) *core.RolloutRecord {
	if !c.known {
		return c.first(s)
	}
	next := c.record
	next.Sequence++
	switch {
	case s.Order == nil && !c.record.Phase.Active():
		return nil
	case s.Order == nil && c.Leads():
		return c.end(next, core.RolloutRolledBack, "the order was withdrawn")
	case s.Order != nil && s.Order.Position != c.record.Order:
		return c.begin(next, s)
	case !c.record.Phase.Active():
		return nil
	case c.record.Decider != c.self:
		if s.Now-c.changeAt < takeoverTime {
			return nil
		}
		next.Decider, next.Carried = c.self, c.record.Reserved
		return &next
	}
	if ended := c.decide(next, s); ended != nil {
		return ended
	}
	if s.Now-c.changeAt < renewInterval && c.reservable() <= c.record.Reserved+c.record.Reserved/4 {
		return nil
	}
	if s.Now-c.changeAt < renewInterval/4 {
		return nil
	}
	return c.fill(next)
}
