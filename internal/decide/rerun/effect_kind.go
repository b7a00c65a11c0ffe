package rerun

// EffectKind is the kind of an Effect.
type EffectKind uint8

const (
	// EffectDeliver delivers the token of the current event to the caller.
	EffectDeliver EffectKind = iota + 1
	// EffectResume opens a new connection to the target that runs the generation.
	EffectResume
	// EffectRerun acquires a ticket and starts the generation again on another target.
	EffectRerun
	// EffectStop closes a connection and stops its generation.
	EffectStop
	// EffectEnd ends the caller's stream.
	EffectEnd
)
