package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// offerConfigEvent is an accepted configuration from a peer or an operator.
type offerConfigEvent struct {
	config *core.Config
}

func (e offerConfigEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.Offer(e.config, now), now)
}
