package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
)

// ownershipCommitEvent is the result of a commit of ownership rows.
type ownershipCommitEvent struct {
	response ownership.CommitResponse
}

func (e ownershipCommitEvent) apply(s *state, now time.Time) {
	s.executeOwnership(s.ownership.HandleCommit(e.response, now), now)
}
