package operatorapi

import "siskintide.example/siskintide/internal/core"

// PlanStatus is the outcome of one confirmed plan.
type PlanStatus struct {
	Plan             core.PlanID   `json:"plan"`
	Revision         core.Revision `json:"revision"`
	InForce          int           `json:"in_force"` // hosts that have this revision or a later one in force
	Hosts            int           `json:"hosts"`    // hosts known
	UnconfirmedHosts []core.HostID `json:"missing"`  // hosts that have not confirmed
}
