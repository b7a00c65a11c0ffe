package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// loadSlotEvent is the result of acquiring the data centre's load slot. The fence names the
// ownership under which it was requested.
type loadSlotEvent struct {
	target  core.TargetID
	fence   core.Fence
	granted bool
}

// apply ignores a result that belongs to a former ownership. A slot granted then stays with
// the target, and the next owner either uses or releases it.
func (e loadSlotEvent) apply(s *state, now time.Time) {
	if o := s.orders[e.target]; o != nil && o.fence == e.fence {
		s.executeOrders(e.target, o, o.machine.HandleLoadSlot(e.granted, now), now)
	}
}
