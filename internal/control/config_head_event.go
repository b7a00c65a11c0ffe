package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/revision"
)

// configHeadEvent is the result of a read of the configuration's head.
type configHeadEvent struct {
	read revision.HeadRead
}

func (e configHeadEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.HandleHead(e.read, now), now)
}
