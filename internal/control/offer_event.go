package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// offerEvent is an accepted configuration from a peer or an operator.
type offerEvent struct {
	config *core.Config
}

func (e offerEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.Offer(e.config, now), now)
}
