package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// commitUnavailableEvent reports that the platform could not be reached for a commit. The commit
// is relayed through a peer in the same data centre that reaches the platform. If the
// peer's response is lost, the ownership machine times out and treats the commit as
// ambiguous.
type commitUnavailableEvent struct {
	id          uint64
	transaction core.Transaction
}

func (e commitUnavailableEvent) apply(s *state, now time.Time) {
	if s.platformReached {
		s.platformReached = false
		s.dirty = true
	}
	for _, host := range s.members.Live(now) {
		usable := host.ID != s.self.ID && host.DataCentre == s.self.DataCentre && s.heartbeats[host.ID].PlatformReached
		if usable && s.effects.Send(host.ID, message.RelayRequest{ID: e.id, Transaction: e.transaction}) {
			return
		}
	}
	response := ownership.CommitResponse{ID: e.id, Outcome: ownership.Unavailable}
	s.executeOwnership(s.ownership.HandleCommit(response, now), now)
}
