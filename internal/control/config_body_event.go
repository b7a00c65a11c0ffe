package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/revision"
)

// configBodyEvent is the result of fetching the body of a configuration.
type configBodyEvent struct {
	fetched revision.BodyFetched
}

func (e configBodyEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.HandleBody(e.fetched, now), now)
}
