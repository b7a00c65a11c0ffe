package plan

import "siskintide.example/siskintide/internal/core"

// PoolLoad is the load that the targets of one pool carry, before and after a plan.
// Bounds are the declared warm bounds of all targets that take work.
type PoolLoad struct {
	Pool          core.PoolID `json:"pool"`
	TargetsBefore int         `json:"targets_before"`
	TargetsAfter  int         `json:"targets_after"`
	Streams       int         `json:"streams"` // running and queued, expected to move to what remains
	BoundBefore   int         `json:"bound_before"`
	BoundAfter    int         `json:"bound_after"`
	LimitAfter    int         `json:"limit_after"` // streams that the remaining targets bear now, not all warm
	Memory        core.Tokens `json:"memory"`      // the larger of use and forecast
	MemoryBefore  core.Tokens `json:"memory_before"`
	MemoryAfter   core.Tokens `json:"memory_after"`
	Unknown       int         `json:"unknown"` // targets whose load is not known
}

// overloaded reports whether the remaining targets would be beyond their warm bounds.
func (p PoolLoad) overloaded() bool {
	return p.Streams > p.BoundAfter || p.Memory > p.MemoryAfter
}

// shrinks reports whether the plan takes capacity away.
func (p PoolLoad) shrinks() bool {
	return p.BoundAfter < p.BoundBefore || p.MemoryAfter < p.MemoryBefore
}
