package plan

import "siskintide.example/siskintide/internal/core"

// PoolLoad is the load that the targets of one pool carry, before and after a plan.
// Bounds are the declared warm bounds of all targets that take work.
type PoolLoad struct {
	Pool               core.PoolID `json:"pool"`
	TargetsBefore      int         `json:"targets_before"`
	TargetsAfter       int         `json:"targets_after"`
	Streams            int         `json:"streams"` // running and queued, expected to move to what remains
	WarmStreamsBefore  int         `json:"bound_before"`
	WarmStreamsAfter   int         `json:"bound_after"`
	StreamLimitAfter   int         `json:"limit_after"` // streams that the remaining targets bear now, not all warm
	Memory             core.Tokens `json:"memory"`      // the larger of use and forecast
	MemoryTokensBefore core.Tokens `json:"memory_before"`
	MemoryTokensAfter  core.Tokens `json:"memory_after"`
	UnknownTargets     int         `json:"unknown"` // targets whose load is not known
}

// overloaded reports whether the remaining targets would be beyond their warm bounds.
func (p PoolLoad) overloaded() bool {
	return p.Streams > p.WarmStreamsAfter || p.Memory > p.MemoryTokensAfter
}

// shrinks reports whether the plan takes capacity away.
func (p PoolLoad) shrinks() bool {
	return p.WarmStreamsAfter < p.WarmStreamsBefore || p.MemoryTokensAfter < p.MemoryTokensBefore
}
