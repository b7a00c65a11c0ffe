package edgecontrol

import "siskintide.example/siskintide/internal/core"

// RolloutMetrics counts requests and phases of rollouts.
type RolloutMetrics interface {
	// Exposed counts a request that is sent to a version while a rollout is active.
	Exposed(pool core.PoolID, version core.Version)
	// Ended counts an answer of a version while a rollout is active.
	Ended(pool core.PoolID, version core.Version, failed bool)
	// PhaseBegan counts a phase that this host has learned of.
	PhaseBegan(pool core.PoolID, phase core.RolloutPhase)
}
