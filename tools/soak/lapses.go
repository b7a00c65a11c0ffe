package main

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	lapseInterval = 900 * time.Millisecond // between the lapses of two entries
	longestLapse  = 2500 * time.Millisecond
)

// injectLapses removes the entries of engines that run on, as that of an engine which is cut off from the registry, and
// brings each back after a while, until the context ends.
func (s *soak) injectLapses(ctx context.Context, r *rand.Rand) {
	for {
		pause(ctx, lapseInterval)
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		t := s.randomLiveTarget(r)
		lapse := time.Duration(r.Int64N(int64(longestLapse)))
		if t.engine && t.leavingSince.IsZero() {
			t.Unregister()
			time.AfterFunc(lapse, func() { s.endLapse(t) })
		}
		s.mu.Unlock()
	}
}

// endLapse registers an engine again, unless it leaves or has gone meanwhile.
func (s *soak) endLapse(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.Killed() && t.leavingSince.IsZero() {
		t.Register("ready")
	}
}
