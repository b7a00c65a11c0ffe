package plan

// TargetEffectKind is the kind of a TargetEffect.
type TargetEffectKind string

const (
	// StopsTakingWork means that the target receives no new work and its streams end normally.
	StopsTakingWork TargetEffectKind = "stops_taking_work"
	// StartsTakingWork means that the target receives work again, starting at its cold floor.
	StartsTakingWork TargetEffectKind = "starts_taking_work"
	// LoadsVersion means that the target loads another version of its model.
	LoadsVersion TargetEffectKind = "loads_version"
)
