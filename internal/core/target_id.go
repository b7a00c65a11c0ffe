package core

// TargetID names one back end: a model engine or one process of a plain service.
type TargetID string
