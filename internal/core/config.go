package core

// Config is a complete accepted configuration. It is immutable once published.
type Config struct {
	Revision    Revision     `json:"revision"`
	Plans       []PlanID     `json:"plans,omitempty"` // most recent confirmed plans, newest last
	DataCentres []DataCentre `json:"data_centres"`
	Kinds       []TargetKind `json:"target_kinds"`
	Models      []Model      `json:"models"`
	Services    []Service    `json:"services"`
	Classes     []ClassSpec  `json:"classes"`
	Teams       []Team       `json:"teams"`
	Targets     []Target     `json:"targets"`
}
