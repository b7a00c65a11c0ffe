package control

import (
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// trackEvent attaches the output counter of a running generation to its ticket.
type trackEvent struct {
	generation core.GenerationID
	output     *atomic.Int64
}

func (e trackEvent) apply(s *state, _ time.Time) {
	if h := s.heldTickets[e.generation]; h != nil {
		h.output = e.output
	}
}
