package control

import "time"

// platformEvent reports whether the last call to the platform reached it.
type platformEvent struct {
	reached bool
}

func (e platformEvent) apply(s *state, _ time.Time) {
	if s.platformReached != e.reached {
		s.platformReached = e.reached
		s.dirty = true
	}
}
