package fleet

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// Placing asks for a target of a pool.
type Placing struct {
	Pool core.PoolID
	Need placement.Need
	// Running is set when only a target for a copy is asked for: the one that runs the
	// generation.
	Running core.TargetID
}
