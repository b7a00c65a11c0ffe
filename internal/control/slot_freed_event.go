package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// slotFreedEvent says whether a target's slot is certainly free.
type slotFreedEvent struct {
	target core.TargetID
	fence  core.Fence
	ok     bool
}

func (e slotFreedEvent) apply(s *state, now time.Time) {
	o := s.orders[e.target]
	if o == nil || o.fence != e.fence {
		return
	}
	o.giving = false
	if !e.ok {
		o.giveAgain = now.Add(s.orderTiming.BusyReadInterval)
	}
}
