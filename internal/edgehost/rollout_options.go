package edgehost

import (
	"context"

	"siskintide.example/siskintide/internal/decide/rollout"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// RolloutOptions configures rollouts of versions of targets.
type RolloutOptions struct {
	Bounds rollout.Bounds
	// Write writes a record to the platform's store, under the condition that it names.
	Write func(ctx context.Context, write edgecontrol.RolloutWrite) error
}
