package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// loadSlotReleasedEvent is the result of releasing a target's load slot. ok is set if the target
// certainly no longer holds it.
type loadSlotReleasedEvent struct {
	target core.TargetID
	fence  core.Fence
	ok     bool
}

func (e loadSlotReleasedEvent) apply(s *state, now time.Time) {
	o := s.orders[e.target]
	if o == nil || o.fence != e.fence {
		return
	}
	o.releasing = false
	if !e.ok {
		o.retryReleaseAt = now.Add(s.orderTiming.BusyReadInterval)
	}
}
