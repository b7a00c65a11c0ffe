package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// rollouts is the state of the rollouts of all pools.
type rollouts struct {
	options     *RolloutOptions
	self        string // name of this process as a decider, which is never given out again
	incarnation uint64
	orders      map[core.PoolID]core.RolloutOrder
	ordersKnown bool // the orders have been read by this host
	known       bool // the records have been read by this host or its hub
	ownRead     bool // the records have been read by this host
	pools       map[core.PoolID]*poolRollout
	changed     []core.RolloutRecord            // that subscribers have not been sent
	clock       time.Duration                   // store's clock less this host's clock
	broken      map[core.TargetID]time.Duration // when a connection to a target broke, if that was counted as a failure
	reportedAt  time.Duration                   // of this host's exposure, to itself
}
