package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// closeEvent closes a ticket at its owner.
type closeEvent struct {
	outcome core.Outcome
}

func (e closeEvent) apply(s *state, now time.Time) {
	h := s.heldTickets[e.outcome.Generation]
	if h == nil {
		return
	}
	delete(s.heldTickets, e.outcome.Generation)
	s.sendOutcome(h.ticket.Owner, e.outcome, now)
}
