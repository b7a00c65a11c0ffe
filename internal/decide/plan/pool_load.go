package plan

import "siskintide.example/siskintide/internal/core"

// PoolLoad is the load of one pool and its capacity before and after a plan. The capacities
// are the sums of the declared warm bounds of all targets that take work.
type PoolLoad struct {
	Pool               core.PoolID `json:"pool"`
	TargetsBefore      int         `json:"targets_before"`
	TargetsAfter       int         `json:"targets_after"`
	Streams            int         `json:"streams"` // running and queued; expected on the remaining targets
	WarmStreamsBefore  int         `json:"bound_before"`
	WarmStreamsAfter   int         `json:"bound_after"`
	StreamLimitAfter   int         `json:"limit_after"` // streams that the remaining targets may run now, when not all are warm
	Memory             core.Tokens `json:"memory"`      // tokens: per target, the larger of use and forecast
	MemoryTokensBefore core.Tokens `json:"memory_before"`
	MemoryTokensAfter  core.Tokens `json:"memory_after"`
	UnknownTargets     int         `json:"unknown"` // targets whose load is not known
}

// overloaded reports whether the load exceeds the warm bounds of the remaining targets.
func (p PoolLoad) overloaded() bool {
	return p.Streams > p.WarmStreamsAfter || p.Memory > p.MemoryTokensAfter
}

// shrinks reports whether the plan reduces capacity.
func (p PoolLoad) shrinks() bool {
	return p.WarmStreamsAfter < p.WarmStreamsBefore || p.MemoryTokensAfter < p.MemoryTokensBefore
}
