package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
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
	// capacityPart is the part of the old targets' slots that the new targets must have.
	capacityPart = 0.75
	// busyFactor is the multiple of the requests in work that is enough, too.
	busyFactor = 2
)

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
