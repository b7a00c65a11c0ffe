package plan

// TargetEffectKind says what happens to a target.
type TargetEffectKind string

const (
	// StopsTakingWork means that the target receives no new work and that its streams end normally.
	StopsTakingWork TargetEffectKind = "stops_taking_work"
	// StartsTakingWork means that the target receives work again, from its cold floor upwards.
	StartsTakingWork TargetEffectKind = "starts_taking_work"
	// LoadsVersion means that the target loads another version of its model.
	LoadsVersion TargetEffectKind = "loads_version"
)
