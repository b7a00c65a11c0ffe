package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/ownership"
)

// ownershipRowsEvent is the result of a read of ownership rows.
type ownershipRowsEvent struct {
	response ownership.ReadResponse
}

func (e ownershipRowsEvent) apply(s *state, now time.Time) {
	s.executeOwnership(s.ownership.HandleRows(e.response, now), now)
}
