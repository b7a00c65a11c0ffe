package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// ApplyReport updates a target from its load report. A report that is older than the
// newest one changes nothing.
func (p *Pool) ApplyReport(report core.LoadReport, now time.Time) []Effect {
	target := p.targets[report.Target]
	if target == nil {
		return nil
	}
	asOf := now.Add(-report.Age)
	if asOf.Before(target.asOf) {
		return nil
	}
	if target.orderUnclear(report, asOf) {
		target.incarnationUnclear = true
		return p.schedule(now)
	}
	target.incarnationUnclear = false
	target.asOf = asOf
	target.reachable = true
	if !target.reported || target.incarnation != report.Incarnation {
		p.handleRestart(target, report, now)
		p.updateCounters(target, report, now)
		target.restoreLimit()
	} else {
		p.updateCounters(target, report, now)
	}
	target.settleListed(report.ListsStreams, asOf)
	var effects []Effect
	if report.ListsStreams {
		effects = p.reconcileStreams(target, report, asOf, now)
	}
	if report.Leaving && !target.leaving {
		effects = append(effects, p.revokeLongStreams(target, now)...)
	}
	target.leaving = report.Leaving
	target.dirty = true
	return append(effects, p.schedule(now)...)
}

// orderUnclear reports whether a report of another incarnation may be older than the
// newest report, given that its transit may have taken up to reportTransit longer. No
// ticket is granted until a later report shows which incarnation runs.
func (t *targetState) orderUnclear(report core.LoadReport, asOf time.Time) bool {
	other := t.incarnation != "" && report.Incarnation != t.incarnation
	return other && !asOf.After(t.asOf.Add(reportTransit))
}

// MarkUnreachable records that polling a target failed. The target gets no tickets until a
// report arrives again.
func (p *Pool) MarkUnreachable(id core.TargetID, now time.Time) []Effect {
	if target := p.targets[id]; target != nil {
		target.reachable = false
	}
	return p.schedule(now)
}

// handleRestart resets the state for a new incarnation. Engines refuse requests that were
// meant for the former incarnation. Plain services do not, so a ticket there that may
// still be started stays in use.
func (p *Pool) handleRestart(target *targetState, report core.LoadReport, now time.Time) {
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
		p.unstarted.Add(ticket.request.Generation, now)
	}
}

// updateCounters compares the report's counters with the previous ones. Counters that fall
// show a restart under the same incarnation.
func (p *Pool) updateCounters(target *targetState, report core.LoadReport, now time.Time) {
	reset := report.Preemptions < target.preemptions || report.CacheFlush < target.flushes
	flushed := report.CacheFlush > target.flushes
	if reset || flushed {
		target.resetToCold(now)
		p.hints.Flush(target.spec.ID)
	}
	if !reset && report.Preemptions > target.preemptions {
		p.margin.RecordPreemption()
	}
	target.preemptions = report.Preemptions
	target.flushes = report.CacheFlush
	target.memoryUsed = report.MemoryUsed
	target.memoryTotal = report.MemoryTotal
	target.listsStreams = report.ListsStreams
}

// settleListed ends the wait after a change of owner once a list of streams is newer than
// the last possible start of the former owner's tickets.
func (t *targetState) settleListed(listsStreams bool, asOf time.Time) {
	if listsStreams && asOf.After(t.acquiredAt.Add(startWindow+settleMargin)) {
		t.settled = true
	}
}

// settleUnlisted ends the wait after a change of owner at a target that lists no streams,
// once the former owner's calls must have ended.
func (t *targetState) settleUnlisted(releaseAfter time.Duration, now time.Time) {
	if t.reported && !t.listsStreams && now.After(t.acquiredAt.Add(startWindow+settleMargin+releaseAfter)) {
		t.settled = true
	}
}

// reconcileStreams compares the tickets with the target's list of streams. It releases
// tickets whose stream is not listed and cannot start any more, and cancels listed streams
// that are in unstarted.
func (p *Pool) reconcileStreams(target *targetState, report core.LoadReport, asOf, now time.Time) []Effect {
	listed := make(map[core.GenerationID]bool, len(report.Streams))
	target.foreign = nil
	var effects []Effect
	for _, stream := range report.Streams {
		listed[stream.Generation] = true
		if ticket := target.tickets.Get(stream.Generation); ticket != nil {
			ticket.context = stream.Context
			ticket.contextAt = asOf
			ticket.listed = true
			continue
		}
		if at, ended := p.closed.At(stream.Generation); ended && !asOf.After(at.Add(closeMargin)) {
			continue
		}
		target.foreign = append(target.foreign, stream)
		if p.unstarted.Has(stream.Generation) {
			effects = append(effects, p.cancel(target, stream.Generation))
		}
	}
	for _, ticket := range target.tickets.All() {
		if !listed[ticket.request.Generation] && asOf.After(ticket.lastStart.Add(settleMargin)) {
			p.releaseUnlisted(target, ticket, now)
		}
	}
	return effects
}

// releaseUnlisted releases a ticket whose stream is not listed and cannot start any more.
// If the stream was never listed and produced no output, its generation is remembered, so
// that the stream is cancelled should it start late after all.
func (p *Pool) releaseUnlisted(target *targetState, ticket *ticketState, now time.Time) {
	if !ticket.listed && ticket.output == 0 {
		p.unstarted.Add(ticket.request.Generation, now)
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

// expireOrphans releases orphaned tickets at a target that lists no streams once their
// calls must have ended.
func (p *Pool) expireOrphans(target *targetState, now time.Time) {
	if target.listsStreams || !target.reported {
		return
	}
	for _, ticket := range target.tickets.All() {
		if ticket.orphaned && !now.Before(ticket.releaseAt) {
			p.release(target, ticket, 0)
		}
	}
}

// revokeLongStreams revokes the streams that are not expected to end before the target is
// reclaimed, so that they run elsewhere.
func (p *Pool) revokeLongStreams(target *targetState, now time.Time) []Effect {
	var effects []Effect
	for _, ticket := range target.tickets.ordered {
		stream := p.runningStream(target, ticket, now)
		remaining := float64(stream.Survival.Remaining(stream.Output, stream.Limit)) * target.tokenGapMS
		if ticket.revoked || remaining < float64(reclaimNotice.Milliseconds()) {
			continue
		}
		ticket.revoked = true
		effects = append(effects, Revoke{Generation: ticket.request.Generation, Target: target.spec.ID, EntryHost: ticket.request.EntryHost})
	}
	return effects
}
