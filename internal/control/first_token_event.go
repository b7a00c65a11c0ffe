package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// firstTokenEvent reports the first token of a local caller's generation.
type firstTokenEvent struct {
	generation   core.GenerationID
	firstTokenMS int64
}

func (e firstTokenEvent) apply(s *state, now time.Time) {
	h := s.heldTickets[e.generation]
	if h == nil {
		return
	}
	h.reported = 1
	progress := core.Progress{Generation: e.generation, Output: 1, FirstTokenMS: max(e.firstTokenMS, 1)}
	s.sendProgress(h.ticket.Owner, []core.Progress{progress}, now)
}
