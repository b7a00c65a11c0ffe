package claim

// EffectKind is the kind of an Effect.
type EffectKind uint8

const (
	// EffectRead reads the row.
	EffectRead EffectKind = iota + 1
	// EffectAcquire acquires a ticket for the service.
	EffectAcquire
	// EffectWrite writes the row if it still has the given version.
	EffectWrite
	// EffectSend sends the call to the service, at most once.
	EffectSend
	// EffectReplay answers the caller with the stored answer of the row that was read last.
	EffectReplay
	// EffectAnswer answers the caller with the service's answer.
	EffectAnswer
	// EffectRefuse answers the caller with a refusal.
	EffectRefuse
)
