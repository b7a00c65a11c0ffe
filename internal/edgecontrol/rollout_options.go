package edgecontrol

import "siskintide.example/siskintide/internal/decide/rollout"

// RolloutOptions configures rollouts.
type RolloutOptions struct {
	Bounds rollout.Bounds
	// Write begins to write a record to the platform's store, without waiting for it. The result goes to
	// Loop.HandleRolloutWritten.
	Write func(RolloutWrite)
	// Metrics counts what a host does in rollouts.
	Metrics RolloutMetrics
}
