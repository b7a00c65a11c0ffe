package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
)

// rowsEvent answers a read of ownership rows.
type rowsEvent struct {
	answer ownership.ReadResponse
}

func (e rowsEvent) apply(s *state, now time.Time) {
	s.executeOwnership(s.ownership.HandleRows(e.answer, now), now)
}
