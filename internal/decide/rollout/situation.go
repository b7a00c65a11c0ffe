package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Situation is what a decision on a rollout depends on, apart from reports.
type Situation struct {
	Now time.Duration
	// StoreTime is the time on the store's clock, which all deciders share.
	StoreTime time.Duration
	// Order is the order in force, or nil if there is none.
	Order *core.RolloutOrder
	// Streams is set if the pool serves streams, which run for longer than calls.
	Streams bool
	Targets map[core.Version]VersionTargets
}
