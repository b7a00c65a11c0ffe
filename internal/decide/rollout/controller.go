package rollout

import (
	"fmt"
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
	// probePart is the least part of the order's time for which the new version is only probed. A fault that shows
	// later than that is seen when all traffic is there, so it lasts until callShift or streamShift before the end:
	// the time that calls and streams have to end at the old targets.
	probePart   = 0.72
	callShift   = 1600 * time.Millisecond
	streamShift = 12 * time.Second
	// lastCallPart is the part of the order's time at which the rollout ends at the latest, and lastCallMargin the
	// least time that is left then for the write, and for the delay until the order was seen.
	lastCallPart   = 0.92
	lastCallMargin = 900 * time.Millisecond
	// minShift is the least time between the shift of the traffic and completion: all hosts must know of the shift.
	minShift = 1200 * time.Millisecond
	// minJudged is the least number of answers of the new version for completion.
	minJudged = 5
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
	// capacityPart is the part of the old targets' slots that the new targets must have.
	capacityPart = 0.75
	// busyFactor is the multiple of the requests in work that is enough, too.
	busyFactor = 2
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

// first returns the first record of a pool, which names the version in force.
func (c *Controller) first(s Situation) *core.RolloutRecord {
	current, ok := InitialVersion(s.Targets)
	if !ok {
		return nil
	}
	return &core.RolloutRecord{Sequence: 1, Current: current, Decider: c.self}
}

// begin returns the record that begins the rollout of a new order. If the store was restored from a copy and the
// operator has written the same order again, what is known of it stays in force.
func (c *Controller) begin(next core.RolloutRecord, s Situation) *core.RolloutRecord {
	if next.Phase != core.RolloutNone && next.To == s.Order.To && s.Order.Position.Era > next.Order.Era {
		next.Order = s.Order.Position
		return &next
	}
	next = core.RolloutRecord{
		Pool: next.Pool, Sequence: next.Sequence, Current: next.Current, To: s.Order.To, Order: s.Order.Position,
		Phase: core.RolloutProbing, StartedAt: s.StoreTime, Decider: c.self, Reserved: c.bounds.Allowance(0),
	}
	if next.To == next.Current {
		next.Phase, next.Reserved, next.Reason = core.RolloutCompleted, 0, "the version is in force already"
	}
	return &next
}

// decide returns the record that moves the rollout to its next phase, or nil.
func (c *Controller) decide(next core.RolloutRecord, s Situation) *core.RolloutRecord {
	e := c.ledger.sum
	if c.against == nil {
		c.against = c.judge.examine(e)
	}
	if c.against != nil {
		return c.end(next, core.RolloutRolledBack, describe(c.against))
	}
	elapsed := s.StoreTime - c.record.StartedAt
	lastCall := min(time.Duration(lastCallPart*float64(s.Order.Duration)), s.Order.Duration-lastCallMargin)
	if c.record.Phase == core.RolloutShifting {
		if elapsed < lastCall && (s.Now-c.shiftAt < minShift || s.Targets[c.record.Current].Busy > 0) {
			return nil
		}
		if c.against = c.judge.examineFinally(e); c.against != nil {
			return c.end(next, core.RolloutRolledBack, describe(c.against))
		}
		return c.end(next, core.RolloutCompleted, "nothing speaks against the version")
	}
	c.progress = min(max(float64(elapsed)/float64(probeTime(s, lastCall)), 0), 1)
	if c.progress < 1 {
		return nil
	}
	if c.against = c.judge.examineFinally(e); c.against != nil {
		return c.end(next, core.RolloutRolledBack, describe(c.against))
	}
	judged := e.judged
	ready := judged >= minJudged && 2*judged >= c.ledger.used() && canCarry(s.Targets, c.record, elapsed >= lastCall)
	switch {
	case ready && elapsed >= lastCall:
		return c.end(next, core.RolloutCompleted, "nothing speaks against the version")
	case ready:
		next.Phase = core.RolloutShifting
		return c.fill(next)
	case elapsed >= lastCall && judged < minJudged:
		return c.end(next, core.RolloutRolledBack, "too few answers to judge the version")
	case elapsed >= lastCall:
		return c.end(next, core.RolloutRolledBack, "the new targets cannot carry the load, or do not answer")
	}
	return nil
}

// probeTime returns the time since the order at which the new version is no longer only probed.
func probeTime(s Situation, lastCall time.Duration) time.Duration {
	shift := callShift
	if s.Streams {
		shift = streamShift
	}
	return min(max(time.Duration(probePart*float64(s.Order.Duration)), lastCall-shift), lastCall)
}

// canCarry reports whether the new targets can take over the requests of the old ones. Cold targets count only if the
// rollout must end now.
func canCarry(targets map[core.Version]VersionTargets, r core.RolloutRecord, late bool) bool {
	former, next := targets[r.Current], targets[r.To]
	slots := next.WarmSlots
	if late {
		slots = next.Slots
	}
	return slots > 0 && (float64(slots) >= capacityPart*float64(former.Slots) || slots >= busyFactor*(former.Busy+next.Busy))
}

func describe(f *finding) string {
	where := "all routes"
	if f.route != "" {
		where = fmt.Sprintf("route %s", f.route)
	}
	return fmt.Sprintf("%s, %s: %d of %d answers, former version %d of %d, probability %.1e",
		f.measure, where, f.table.newBad, f.table.newAll, f.table.oldBad, f.table.oldAll, f.probability)
}

// end returns the record that ends the rollout.
func (c *Controller) end(next core.RolloutRecord, phase core.RolloutPhase, reason string) *core.RolloutRecord {
	next.Phase, next.Reason = phase, reason
	if phase == core.RolloutCompleted {
		next.Current = next.To
	}
	return c.fill(next)
}

// fill sets what is known of the rollout in a record.
func (c *Controller) fill(next core.RolloutRecord) *core.RolloutRecord {
	next.Judged, next.Failed = c.ledger.sum.judged, c.ledger.sum.failures
	next.Seen, next.Used = max(next.Seen, c.ledger.seen()), max(next.Used, c.ledger.used())
	next.Reserved = max(next.Reserved, c.reservable())
	return &next
}

// reservable returns the number of requests to the new version that the bounds allow by now.
func (c *Controller) reservable() uint64 {
	return c.bounds.Allowance(max(c.record.Seen, c.ledger.seen()))
}

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
