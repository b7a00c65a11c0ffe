package engine

import "siskintide.example/siskintide/internal/core"

// Frame is one token of a stream, as received from the engine.
type Frame struct {
	Generation   core.GenerationID
	Sequence     core.Sequence
	Text         string
	FinishReason string // "stop" or "length" in the last frame, otherwise empty
}
