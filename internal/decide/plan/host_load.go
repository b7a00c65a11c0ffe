package plan

import "siskintide.example/siskintide/internal/core"

// HostLoad is the known state of one host.
type HostLoad struct {
	Host       core.HostID       `json:"host"`
	DataCentre core.DataCentreID `json:"data_centre"`
	Reachable  bool              `json:"reachable"`
	Leaving    bool              `json:"leaving,omitempty"`
}
