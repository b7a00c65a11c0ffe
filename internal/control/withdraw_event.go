package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// withdrawEvent withdraws a local ticket request. If the ticket was granted in the meantime,
// it is closed as unused.
type withdrawEvent struct {
	generation core.GenerationID
}

func (e withdrawEvent) apply(s *state, now time.Time) {
	if p := s.pending[e.generation]; p != nil {
		delete(s.pending, e.generation)
		s.withdraw(p, now)
		return
	}
	if h := s.heldTickets[e.generation]; h != nil {
		closeEvent{outcome: core.Outcome{Generation: e.generation, Target: h.ticket.Target, Result: core.Unused}}.apply(s, now)
	}
}
