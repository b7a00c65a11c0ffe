package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// PlacementRequest is a request for a target of a pool.
type PlacementRequest struct {
	Pool    core.PoolID
	Request placement.Request
	// Retry is set if the request was sent before, so that the retry budget must cover this
	// attempt.
	Retry bool
	// MayWait is set if the request can wait while all targets are at capacity.
	MayWait bool
	// RunningOn is the target that already runs the generation. If it is set, only a target
	// for the generation's next copy is chosen.
	RunningOn core.TargetID
}
