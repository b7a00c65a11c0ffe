package operatorapi

import "siskintide.example/siskintide/internal/core"

// TargetStatus is the status of one target as seen by the responding host.
type TargetStatus struct {
	Target     core.TargetID     `json:"target"`
	DataCentre core.DataCentreID `json:"data_centre"`
	Pool       core.PoolID       `json:"pool"`
	State      core.AdminState   `json:"state"`
	TakesWork  bool              `json:"takes_work"`      // the target and its data centre are in
	Owner      core.HostID       `json:"owner,omitempty"` // empty if the responding host does not know it
	LoadKnown  bool              `json:"known"`           // the fields below hold a reported load
	Limit      int               `json:"limit"`
	Streams    int               `json:"streams"`
	Memory     core.Tokens       `json:"memory"`
	Forecast   core.Tokens       `json:"forecast"`
}
