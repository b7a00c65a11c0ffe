package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/revision"
)

// bodyEvent answers a fetch of a configuration.
type bodyEvent struct {
	fetched revision.BodyFetched
}

func (e bodyEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.HandleBody(e.fetched, now), now)
}
