package control

import (
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// trackEvent gives the counter of a running generation's output.
type trackEvent struct {
	generation core.GenerationID
	output     *atomic.Int64
}

func (e trackEvent) apply(s *state, _ time.Time) {
	if h := s.held[e.generation]; h != nil {
		h.output = e.output
	}
}
