package operatorapi

import "siskintide.example/siskintide/internal/core"

// PlanStatus shows at which hosts a confirmed plan is in force.
type PlanStatus struct {
	Plan             core.PlanID   `json:"plan"`
	Revision         core.Revision `json:"revision"`
	InForce          int           `json:"in_force"` // number of hosts with this revision or a later one in force
	Hosts            int           `json:"hosts"`    // number of known hosts
	UnconfirmedHosts []core.HostID `json:"missing"`  // hosts that have not confirmed
}
