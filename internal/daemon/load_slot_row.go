package daemon

import "siskintide.example/siskintide/internal/core"

// slotRow is the platform's row of a data centre's slot for loading weights.
type slotRow struct {
	Target core.TargetID `json:"target"`
	Fence  core.Fence    `json:"fence"`
}
