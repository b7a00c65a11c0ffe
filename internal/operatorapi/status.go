package operatorapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Status is the state of the deployment as seen by one host.
type Status struct {
	Host            core.HostID        `json:"host"` // the responding host
	AsOf            time.Time          `json:"as_of"`
	PlatformReached bool               `json:"platform_reached"`
	Degraded        bool               `json:"degraded"`
	InForce         core.Revision      `json:"in_force"` // revision in force at the responding host
	Accepted        core.Revision      `json:"accepted"` // highest accepted revision known; at least InForce
	AcceptedAt      time.Time          `json:"accepted_at,omitzero"`
	DataCentres     []DataCentreStatus `json:"data_centres"`
	Targets         []TargetStatus     `json:"targets"`
	Plans           []PlanStatus       `json:"plans"` // newest first
}
