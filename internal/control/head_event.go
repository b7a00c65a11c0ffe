package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/revision"
)

// headEvent answers a read of the configuration's head.
type headEvent struct {
	read revision.HeadRead
}

func (e headEvent) apply(s *state, now time.Time) {
	s.executeRevision(s.follower.HandleHead(e.read, now), now)
}
