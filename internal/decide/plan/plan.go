package plan

import "siskintide.example/siskintide/internal/core"

// Plan describes what an intent would change, for an operator to read and confirm.
type Plan struct {
	ID       core.PlanID    `json:"id"`
	Base     core.Revision  `json:"base"` // revision that the plan was computed from
	Intent   Intent         `json:"intent"`
	Steps    []Step         `json:"steps"`
	Targets  []TargetEffect `json:"targets"`
	Hosts    []HostEffect   `json:"hosts"`
	Pools    []PoolLoad     `json:"pools"` // pools whose targets change
	Warnings []Warning      `json:"warnings"`
}
