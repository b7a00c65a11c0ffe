package operatorapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Status is one host's view of the deployment.
type Status struct {
	Host            core.HostID        `json:"host"` // host that answers
	AsOf            time.Time          `json:"as_of"`
	PlatformReached bool               `json:"platform_reached"`
	Degraded        bool               `json:"degraded"`
	InForce         core.Revision      `json:"in_force"` // at the host that answers
	Accepted        core.Revision      `json:"accepted"` // highest known; at least InForce
	AcceptedAt      time.Time          `json:"accepted_at,omitzero"`
	DataCentres     []DataCentreStatus `json:"data_centres"`
	Targets         []TargetStatus     `json:"targets"`
	Plans           []PlanStatus       `json:"plans"` // newest first
}
