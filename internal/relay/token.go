package relay

import "siskintide.example/siskintide/internal/core"

// Token is one token for the caller, with the data for resuming the stream after it.
type Token struct {
	Generation   core.GenerationID
	Target       core.TargetID
	Incarnation  core.Incarnation
	Sequence     core.Sequence
	Digest       uint64 // chained hash of all tokens up to this one
	Text         string
	FinishReason string // empty except in the last token
}
