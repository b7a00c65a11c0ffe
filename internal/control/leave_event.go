package control

import "time"

// leaveEvent starts a graceful shutdown; see Loop.Leave.
type leaveEvent struct{}

func (leaveEvent) apply(s *state, now time.Time) {
	s.leaving = true
	s.self.Leaving = true
	s.dirty = true
	s.executeOwnership(s.ownership.Leave(now), now)
	s.broadcastHeartbeat(now)
}
