package operatorapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// Confirmation confirms a plan that the operator has read. It may be repeated.
type Confirmation struct {
	Plan   core.PlanID   `json:"plan"`
	Base   core.Revision `json:"base"`
	Intent plan.Intent   `json:"intent"`
}
