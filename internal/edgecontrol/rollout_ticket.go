package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// rolloutTicket is what an assignment has to remember to count its result in a rollout.
type rolloutTicket struct {
	pool     core.PoolID
	order    core.StorePosition
	route    core.RouteID
	version  core.Version
	isNew    bool
	remote   bool
	placedAt time.Duration
	timed    bool // the time to the first event has been counted
}

// counts reports whether the result is counted.
func (t rolloutTicket) counts() bool { return t.pool != "" }
