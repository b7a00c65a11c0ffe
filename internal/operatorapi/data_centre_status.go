package operatorapi

import "siskintide.example/siskintide/internal/core"

// DataCentreStatus is what is known about one data centre.
type DataCentreStatus struct {
	DataCentre  core.DataCentreID `json:"data_centre"`
	State       core.AdminState   `json:"state"`   // as accepted; empty if it is not declared
	Unreachable bool              `json:"cut_off"` // none of its hosts can be reached
	Hosts       []HostStatus      `json:"hosts"`
}
