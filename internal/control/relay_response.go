package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// handleRelayResponse handles the result of a commit that a peer relayed for this host.
func (s *state) handleRelayResponse(m message.RelayResponse, now time.Time) {
	response := ownership.CommitResponse{ID: m.ID, Outcome: ownership.Ambiguous, LeaseVersion: m.Version}
	switch {
	case m.Committed:
		response.Outcome = ownership.Committed
	case m.Conflict:
		response.Outcome = ownership.Conflict
	}
	s.executeOwnership(s.ownership.HandleCommit(response, now), now)
}
