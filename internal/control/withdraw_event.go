package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// withdrawEvent is a local request that no longer waits. If the grant crossed it, the
// ticket is given back unused.
type withdrawEvent struct {
	generation core.GenerationID
}

func (e withdrawEvent) apply(s *state, now time.Time) {
	if p := s.pending[e.generation]; p != nil {
		delete(s.pending, e.generation)
		s.withdraw(p, now)
		return
	}
	if h := s.held[e.generation]; h != nil {
		closeEvent{outcome: core.Outcome{Generation: e.generation, Target: h.ticket.Target, Result: core.Unused}}.apply(s, now)
	}
}
