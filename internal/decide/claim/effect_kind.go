package claim

// EffectKind tells what is to be done.
type EffectKind uint8

const (
	// EffectRead reads the row.
	EffectRead EffectKind = iota + 1
	// EffectAcquire asks for a ticket for the service.
	EffectAcquire
	// EffectWrite writes the row if it still has the given version.
	EffectWrite
	// EffectSend sends the call to the service, at most once.
	EffectSend
	// EffectReplay gives the caller the answer kept in the row that was read last.
	EffectReplay
	// EffectAnswer gives the caller the service's answer.
	EffectAnswer
	// EffectRefuse gives the caller a refusal.
	EffectRefuse
)
