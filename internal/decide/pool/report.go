package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// ApplyReport takes a target's own account of its load. One that is older than the newest
// changes nothing.
func (p *Pool) ApplyReport(report core.LoadReport, now time.Time) []Effect {
	target := p.targets[report.Target]
	if target == nil {
		return nil
	}
	asOf := now.Add(-report.Age)
	if asOf.Before(target.asOf) {
		return nil
	}
	if target.inDoubt(report, asOf) {
		target.doubtful = true
		return p.schedule(now)
	}
	target.doubtful = false
	target.asOf = asOf
	target.reachable = true
	if !target.known || target.incarnation != report.Incarnation {
		p.restarted(target, report, now)
		p.takeCounters(target, report, now)
		target.takeInherited()
	} else {
		p.takeCounters(target, report, now)
	}
	target.takeSettled(report.ListsStreams, asOf)
	var effects []Effect
	if report.ListsStreams {
		effects = p.takeList(target, report, asOf, now)
	}
	if report.Leaving && !target.leaving {
		effects = append(effects, p.moveAway(target, now)...)
	}
	target.leaving = report.Leaving
	target.dirty = true
	return append(effects, p.schedule(now)...)
}

// inDoubt reports whether a report of another incarnation may be older than the newest
// one, as it may have been on its way for longer. No ticket is granted until a later
// report tells which incarnation runs.
func (t *targetState) inDoubt(report core.LoadReport, asOf time.Time) bool {
	other := t.incarnation != "" && report.Incarnation != t.incarnation
	return other && !asOf.After(t.asOf.Add(reportTransit))
}

// MarkUnreachable takes the failure to get a report. The target gets no ticket until one
// comes again.
func (p *Pool) MarkUnreachable(id core.TargetID, now time.Time) []Effect {
	if target := p.targets[id]; target != nil {
		target.reachable = false
	}
	return p.schedule(now)
}

// restarted starts the account of a new incarnation. Engines refuse requests that were
// meant for the former one; plain services do not, so a ticket that may still be started
// stays in use.
func (p *Pool) restarted(target *targetState, report core.LoadReport, now time.Time) {
	first := target.incarnation == ""
	target.restart(report.Incarnation, now)
	p.hints.Flush(target.spec.ID)
	if first {
		return
	}
	for _, ticket := range target.tickets.All() {
		mayStart := !report.ListsStreams && !now.After(ticket.lastStart.Add(settleMargin))
		if mayStart {
			ticket.orphan(p.releaseAt(now))
			continue
		}
		p.release(target, ticket, 0)
		p.vacated.Add(ticket.demand.Generation, now)
	}
}

// takeCounters compares the report's counters with the last ones. Counters that fall
// show a restart that the incarnation does not.
func (p *Pool) takeCounters(target *targetState, report core.LoadReport, now time.Time) {
	reset := report.Preemptions < target.preemptions || report.CacheFlush < target.flushes
	flushed := report.CacheFlush > target.flushes
	if reset || flushed {
		target.fallCold(now)
		p.hints.Flush(target.spec.ID)
	}
	if !reset && report.Preemptions > target.preemptions {
		p.safety.RecordPreemption()
	}
	target.preemptions = report.Preemptions
	target.flushes = report.CacheFlush
	target.memoryUsed = report.MemoryUsed
	target.memoryTotal = report.MemoryTotal
	target.lists = report.ListsStreams
}

// takeSettled ends the wait after a change of owner once a list of streams is newer than
// the last possible start of the former owner's tickets.
func (t *targetState) takeSettled(lists bool, asOf time.Time) {
	if lists && asOf.After(t.acquiredAt.Add(startWindow+settleMargin)) {
		t.settled = true
	}
}

// settleUnlisted ends the wait after a change of owner at a target that lists no streams
// once the former owner's calls must have ended.
func (t *targetState) settleUnlisted(releaseAfter time.Duration, now time.Time) {
	if t.known && !t.lists && now.After(t.acquiredAt.Add(startWindow+settleMargin+releaseAfter)) {
		t.settled = true
	}
}

// takeList settles tickets by the target's own list of streams.
func (p *Pool) takeList(target *targetState, report core.LoadReport, asOf, now time.Time) []Effect {
	listed := make(map[core.GenerationID]bool, len(report.Streams))
	target.foreign = nil
	var effects []Effect
	for _, stream := range report.Streams {
		listed[stream.Generation] = true
		if ticket := target.tickets.Get(stream.Generation); ticket != nil {
			ticket.context = stream.Context
			ticket.contextAt = asOf
			ticket.seen = true
			continue
		}
		if at, ended := p.closed.At(stream.Generation); ended && !asOf.After(at.Add(closeMargin)) {
			continue
		}
		target.foreign = append(target.foreign, stream)
		if p.vacated.Has(stream.Generation) {
			effects = append(effects, p.cancel(target, stream.Generation))
		}
	}
	for _, ticket := range target.tickets.All() {
		if !listed[ticket.demand.Generation] && asOf.After(ticket.lastStart.Add(settleMargin)) {
			p.giveUp(target, ticket, now)
		}
	}
	return effects
}

// giveUp releases a ticket whose stream the target does not run and can no longer start.
// If the stream was never seen it must not run later either.
func (p *Pool) giveUp(target *targetState, ticket *ticketState, now time.Time) {
	if !ticket.seen && ticket.output == 0 {
		p.vacated.Add(ticket.demand.Generation, now)
	}
	p.release(target, ticket, 0)
}

func (p *Pool) cancel(target *targetState, id core.GenerationID) Effect {
	return Cancel{
		Generation:  id,
		Target:      target.spec.ID,
		Address:     target.spec.Address,
		Incarnation: target.incarnation,
	}
}

// expireOrphans gives up tickets at a target that lists no streams once their calls must
// have ended.
func (p *Pool) expireOrphans(target *targetState, now time.Time) {
	if target.lists || !target.known {
		return
	}
	for _, ticket := range target.tickets.All() {
		if ticket.orphaned && !now.Before(ticket.releaseAt) {
			p.release(target, ticket, 0)
		}
	}
}

// moveAway asks for the streams that will not end before a target is reclaimed to be run
// elsewhere.
func (p *Pool) moveAway(target *targetState, now time.Time) []Effect {
	var effects []Effect
	for _, ticket := range target.tickets.ordered {
		stream := p.running(target, ticket, now)
		remaining := float64(stream.Survival.Remaining(stream.Output, stream.Limit)) * target.gapMS
		if ticket.revoked || remaining < float64(reclaimNotice.Milliseconds()) {
			continue
		}
		ticket.revoked = true
		effects = append(effects, Revoke{Generation: ticket.demand.Generation, Target: target.spec.ID, EntryHost: ticket.demand.EntryHost})
	}
	return effects
}
