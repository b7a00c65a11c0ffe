package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// slotEvent answers a demand for the data centre's slot under an ownership.
type slotEvent struct {
	target  core.TargetID
	fence   core.Fence
	granted bool
}

// apply leaves a slot that was granted under a former ownership to the next one, which
// holds the target's slot or frees it.
func (e slotEvent) apply(s *state, now time.Time) {
	if o := s.orders[e.target]; o != nil && o.fence == e.fence {
		s.executeOrders(e.target, o, o.machine.HandleLoadSlot(e.granted, now), now)
	}
}
