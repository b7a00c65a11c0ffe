package operatorapi

import "siskintide.example/siskintide/internal/core"

// ConfirmResponse says that a plan is part of the accepted configuration.
type ConfirmResponse struct {
	Plan     core.PlanID   `json:"plan"`
	Revision core.Revision `json:"revision"` // revision that the plan led to
	Repeated bool          `json:"repeated"` // it had been accepted before
}
