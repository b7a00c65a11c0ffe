package operatorapi

import "siskintide.example/siskintide/internal/core"

// ConfirmResponse reports that a plan is part of the accepted configuration.
type ConfirmResponse struct {
	Plan     core.PlanID   `json:"plan"`
	Revision core.Revision `json:"revision"` // revision that the plan produced
	Repeated bool          `json:"repeated"` // the plan had been accepted before this call
}
