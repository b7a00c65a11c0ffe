package rerun

// EndReason is the reason why a caller's stream ended.
type EndReason uint8

const (
	// EndFinished means that the complete answer was delivered.
	EndFinished EndReason = iota + 1
	// EndRefused means that the first ticket was refused.
	EndRefused
	// EndFailed means that no target could continue the generation.
	EndFailed
	// EndDiverged means that a rerun did not reproduce the delivered tokens.
	EndDiverged
)
