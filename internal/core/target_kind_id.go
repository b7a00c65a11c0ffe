package core

// TargetKindID names a declared kind of target.
type TargetKindID string
