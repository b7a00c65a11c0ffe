package fleet

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// Placing asks for a target of a pool.
type Placing struct {
	Pool core.PoolID
	Need placement.Need
	// Running is set if the generation goes on at a target that is given, so that only one
	// for its next copy is chosen.
	Running core.TargetID
}
