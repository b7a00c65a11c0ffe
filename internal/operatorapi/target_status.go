package operatorapi

import "siskintide.example/siskintide/internal/core"

// TargetStatus is what is known about one target.
type TargetStatus struct {
	Target     core.TargetID     `json:"target"`
	DataCentre core.DataCentreID `json:"data_centre"`
	Pool       core.PoolID       `json:"pool"`
	State      core.AdminState   `json:"state"`
	TakesWork  bool              `json:"takes_work"`      // it and its data centre are in
	Owner      core.HostID       `json:"owner,omitempty"` // empty means unknown to the answering host
	LoadKnown  bool              `json:"known"`           // the load below was reported
	Limit      int               `json:"limit"`
	Streams    int               `json:"streams"`
	Memory     core.Tokens       `json:"memory"`
	Forecast   core.Tokens       `json:"forecast"`
}
