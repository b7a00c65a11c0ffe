package core

// TargetKindID names a declared kind of target, which carries its bounds.
type TargetKindID string
