package plan

// EffectKind says what happens to a target.
type EffectKind string

const (
	// StopsTaking means that the target receives no new work and that its streams end normally.
	StopsTaking EffectKind = "stops_taking_work"
	// StartsTaking means that the target receives work again, from its cold floor upwards.
	StartsTaking EffectKind = "starts_taking_work"
	// LoadsVersion means that the target loads another version of its model.
	LoadsVersion EffectKind = "loads_version"
)
