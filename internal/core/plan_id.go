package core

// PlanID identifies a plan by the content of its intent and its base revision.
type PlanID string
