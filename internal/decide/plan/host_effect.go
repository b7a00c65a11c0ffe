package plan

import "siskintide.example/siskintide/internal/core"

// HostEffect is the effect of a plan on the hosts of one data centre.
type HostEffect struct {
	DataCentre  core.DataCentreID `json:"data_centre"`
	Hosts       int               `json:"hosts"`
	Unreachable []core.HostID     `json:"unreachable,omitempty"` // the plan is not in force there until they are reached
}
