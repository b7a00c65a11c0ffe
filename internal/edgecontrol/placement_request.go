package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// PlacementRequest asks for a target of a pool.
type PlacementRequest struct {
	Pool    core.PoolID
	Request placement.Request
	// Retry says that the request was sent before, so that this send has to be covered by
	// the bound on second sends.
	Retry bool
	// MayWait says that the request can wait while all targets are crowded.
	MayWait bool
	// RunningOn is set if the generation goes on at a target that is given, so that only one
	// for its next copy is chosen.
	RunningOn core.TargetID
}
