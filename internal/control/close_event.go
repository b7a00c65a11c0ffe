package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// closeEvent gives a ticket back.
type closeEvent struct {
	outcome core.Outcome
}

func (e closeEvent) apply(s *state, now time.Time) {
	h := s.held[e.outcome.Generation]
	if h == nil {
		return
	}
	delete(s.held, e.outcome.Generation)
	s.sendOutcome(h.ticket.Owner, e.outcome, now)
}
