package control

import "time"

// leaveEvent starts a graceful shutdown: no new callers, owned targets handed over.
type leaveEvent struct{}

func (leaveEvent) apply(s *state, now time.Time) {
	s.leaving = true
	s.self.Leaving = true
	s.dirty = true
	s.executeOwnership(s.ownership.Leave(now), now)
	s.beat(now)
}
