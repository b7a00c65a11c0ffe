package relay

import "siskintide.example/siskintide/internal/core"

// Token is one token on its way to the caller, with what a resumption after it needs.
type Token struct {
	Generation   core.GenerationID
	Target       core.TargetID
	Incarnation  core.Incarnation
	Sequence     core.Sequence
	Digest       uint64 // chained hash of all tokens up to this one
	Text         string
	FinishReason string // empty except in the last token
}
