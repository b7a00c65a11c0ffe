package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
)

// commitEvent answers a commit of ownership rows.
type commitEvent struct {
	answer ownership.CommitResponse
}

func (e commitEvent) apply(s *state, now time.Time) {
	s.executeOwnership(s.ownership.HandleCommit(e.answer, now), now)
}
