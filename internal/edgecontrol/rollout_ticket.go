package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rollout"
)

// rolloutTicket is what an assignment has to remember to count its result in a rollout.
type rolloutTicket struct {
	pool     core.PoolID
	order    core.StorePosition
	version  core.Version
	sample   rollout.Sample
	placedAt time.Duration
	timed    bool // the time to the first event has been counted, or is not
	paced    bool // the pause between the first events has been counted, or is not
}

// counts reports whether the result is counted.
func (t rolloutTicket) counts() bool { return t.pool != "" }
