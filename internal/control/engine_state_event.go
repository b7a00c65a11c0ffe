package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
)

// engineStateEvent answers a read of an engine's state under an ownership.
type engineStateEvent struct {
	target core.TargetID
	fence  core.Fence
	read   orders.StateResponse
}

func (e engineStateEvent) apply(s *state, now time.Time) {
	if o := s.orders[e.target]; o != nil && o.fence == e.fence {
		s.executeOrders(e.target, o, o.machine.HandleState(e.read, now), now)
	}
}
