package core

// PlanID identifies a plan; it is derived from the plan's intent and base revision.
type PlanID string
