package control

import (
	"time"
)

// handle applies an event. If a tick is overdue it runs first: the leases of a process that
// was paused may have expired, and no event may be handled as if they were valid.
func (s *state) handle(event Event, now time.Time) {
	if now.Sub(s.tickedAt) >= s.settings.Tick {
		s.tick(now)
	}
	event.apply(s, now)
}

// tick runs all time-driven work of the control state.
func (s *state) tick(now time.Time) {
	s.tickedAt = now
	s.executeOwnership(s.ownership.Tick(now), now)
	s.freezeLimits(now)
	for _, p := range s.pools {
		s.executePool(p.Tick(now), now)
	}
	s.tickOrders(now)
	s.pollTargets(now)
	s.updateCapacities(now)
	s.expirePending(now)
	s.executeRevision(s.follower.Tick(now), now)
	if due(&s.nextHeartbeat, s.settings.Heartbeat, now) {
		s.refreshMembers(now)
		s.broadcastHeartbeat(now)
	}
	if due(&s.nextProgress, s.settings.Progress, now) {
		s.reportProgress(now)
	}
	if due(&s.nextHeldTickets, s.settings.HeldTickets, now) {
		s.sendHeldTickets(now)
	}
	if due(&s.nextLoads, s.settings.CapacityRefresh, now) {
		s.sendTargetLoads(now)
	}
	if due(&s.nextSnapshot, snapshotInterval, now) {
		s.dirty = true
	}
}

// freezeLimits stops the growth of limits while this host owns targets under a lease that it
// could not renew.
func (s *state) freezeLimits(now time.Time) {
	degraded := s.ownership.Degraded(now)
	for _, p := range s.pools {
		p.SetFrozen(degraded)
	}
}

// snapshotInterval is the maximum age of the counters in the published snapshot.
const snapshotInterval = 500 * time.Millisecond

// due reports whether the time has been reached, and if so sets it one period ahead.
func due(next *time.Time, period time.Duration, now time.Time) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

// pollTargets polls each owned target whose poll is due and that has no poll in flight.
func (s *state) pollTargets(now time.Time) {
	if s.catalog == nil {
		return
	}
	for id, pollState := range s.polls {
		target := s.catalog.Target(id)
		if pollState.inFlight || target == nil || !due(&pollState.next, s.settings.Poll, now) {
			continue
		}
		pollState.inFlight = true
		s.effects.Poll(*target, pollState.last)
	}
}
