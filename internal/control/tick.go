package control

import (
	"time"
)

// handle applies an event, after a tick if one is overdue: a host that was paused may
// hold leases that have run out, and no event may act on them.
func (s *state) handle(event Event, now time.Time) {
	if now.Sub(s.tickedAt) >= s.settings.Tick {
		s.tick(now)
	}
	event.apply(s, now)
}

// tick drives every timeout of the control state.
func (s *state) tick(now time.Time) {
	s.tickedAt = now
	s.executeOwnership(s.ownership.Tick(now), now)
	s.freeze(now)
	for _, p := range s.pools {
		s.execute(p.Tick(now), now)
	}
	s.tickOrders(now)
	s.pollTargets(now)
	s.announce(now)
	s.expirePending(now)
	s.executeRevision(s.follower.Tick(now), now)
	if due(&s.nextHeartbeat, s.settings.Heartbeat, now) {
		s.refreshMembers(now)
		s.beat(now)
	}
	if due(&s.nextProgress, s.settings.Progress, now) {
		s.reportProgress(now)
	}
	if due(&s.nextCheck, s.settings.TicketCheck, now) {
		s.checkTickets(now)
	}
	if due(&s.nextLoads, s.settings.SummaryRefresh, now) {
		s.sendTargetLoads(now)
	}
	if due(&s.nextView, viewPeriod, now) {
		s.dirty = true
	}
}

// freeze stops the growth of limits while the host owns targets without a renewed lease.
func (s *state) freeze(now time.Time) {
	degraded := s.ownership.Degraded(now)
	for _, p := range s.pools {
		p.SetFrozen(degraded)
	}
}

// viewPeriod is the longest age of the published view's counters.
const viewPeriod = 500 * time.Millisecond

// due reports whether the time has come, and sets the next one.
func due(next *time.Time, period time.Duration, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// pollTargets asks each owned target for its load when that is due and no poll is open.
func (s *state) pollTargets(now time.Time) {
	if s.catalog == nil {
		return
	}
	for id, state := range s.polls {
		target := s.catalog.Target(id)
		if state.inFlight || target == nil || !due(&state.next, s.settings.Poll, now) {
			continue
		}
		state.inFlight = true
		s.ports.Poll(*target, state.last)
	}
}
