package engine

import "siskintide.example/siskintide/internal/core"

// Frame is one token of a stream as the engine sent it.
type Frame struct {
	Generation   core.GenerationID
	Sequence     core.Sequence
	Text         string
	FinishReason string // empty except in the last frame, which says "stop" or "length"
}
