package plan

import "siskintide.example/siskintide/internal/core"

// HostEffect says how a plan reaches the entry hosts of one data centre.
type HostEffect struct {
	DataCentre  core.DataCentreID `json:"data_centre"`
	Hosts       int               `json:"hosts"`
	Unreachable []core.HostID     `json:"unreachable,omitempty"` // not in force there until they are reached
}
