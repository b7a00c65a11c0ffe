package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// handleRelayAnswer takes the outcome of a commit that a peer carried out.
func (s *state) handleRelayAnswer(m message.RelayResponse, now time.Time) {
	answer := ownership.CommitResponse{ID: m.ID, Outcome: ownership.Ambiguous, LeaseVersion: m.Version}
	switch {
	case m.Committed:
		answer.Outcome = ownership.Committed
	case m.Conflict:
		answer.Outcome = ownership.Conflict
	}
	s.executeOwnership(s.ownership.HandleCommit(answer, now), now)
}
