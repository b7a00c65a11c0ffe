package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// unavailableEvent says that the platform could not be reached for a commit. A peer in
// the same data centre that reaches the platform is asked to carry the commit out; if
// its answer is lost, the ownership machine's own timeout treats the commit as ambiguous.
type unavailableEvent struct {
	id          uint64
	transaction core.Transaction
}

func (e unavailableEvent) apply(s *state, now time.Time) {
	if s.platformReached {
		s.platformReached = false
		s.dirty = true
	}
	for _, host := range s.members.Live(now) {
		usable := host.ID != s.self.ID && host.DataCentre == s.self.DataCentre && s.heartbeats[host.ID].PlatformReached
		if usable && s.ports.Send(host.ID, message.RelayRequest{ID: e.id, Transaction: e.transaction}) {
			return
		}
	}
	answer := ownership.CommitResponse{ID: e.id, Outcome: ownership.Unavailable}
	s.executeOwnership(s.ownership.HandleCommit(answer, now), now)
}
