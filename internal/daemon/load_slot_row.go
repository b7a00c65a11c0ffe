package daemon

import "siskintide.example/siskintide/internal/core"

// loadSlotRow is the value of the platform's row of a data centre's load slot, which allows one
// target at a time to load weights.
type loadSlotRow struct {
	Target core.TargetID `json:"target"`
	Fence  core.Fence    `json:"fence"`
}
