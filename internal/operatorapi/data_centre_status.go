package operatorapi

import "siskintide.example/siskintide/internal/core"

// DataCentreStatus is the status of one data centre as seen by the responding host.
type DataCentreStatus struct {
	DataCentre  core.DataCentreID `json:"data_centre"`
	State       core.AdminState   `json:"state"`   // in the configuration in force; empty if it is not declared
	Unreachable bool              `json:"cut_off"` // none of its hosts can be reached
	Hosts       []HostStatus      `json:"hosts"`
}
