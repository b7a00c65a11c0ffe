package operatorapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// ConfirmRequest confirms a plan that the operator has reviewed. It is idempotent.
type ConfirmRequest struct {
	Plan   core.PlanID   `json:"plan"`
	Base   core.Revision `json:"base"`
	Intent plan.Intent   `json:"intent"`
}
