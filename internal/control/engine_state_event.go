package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
)

// engineStateEvent is the result of reading an engine's state. The fence names the
// ownership under which the read was started.
type engineStateEvent struct {
	target   core.TargetID
	fence    core.Fence
	response orders.StateResponse
}

func (e engineStateEvent) apply(s *state, now time.Time) {
	if o := s.orders[e.target]; o != nil && o.fence == e.fence {
		s.executeOrders(e.target, o, o.machine.HandleState(e.response, now), now)
	}
}
