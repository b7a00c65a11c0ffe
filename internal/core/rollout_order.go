package core

import "time"

// RolloutOrder is the operator's order to move a pool's traffic to the targets of a version.
type RolloutOrder struct {
	Pool     PoolID
	To       Version
	Duration time.Duration // time in which the rollout must end
	Position StorePosition // of the order's row; a row that is written anew is another order
}
