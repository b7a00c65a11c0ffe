package rerun

// EffectKind tells what is to be done.
type EffectKind uint8

const (
	// EffectDeliver hands the token of the present event to the caller.
	EffectDeliver EffectKind = iota + 1
	// EffectResume opens a new connection to the generation's own target.
	EffectResume
	// EffectRerun asks for a ticket and starts the generation anew on another target.
	EffectRerun
	// EffectStop gives up a connection and its generation.
	EffectStop
	// EffectEnd ends the caller's stream.
	EffectEnd
)
