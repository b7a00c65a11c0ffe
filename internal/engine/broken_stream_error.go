package engine

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// BrokenStreamError reports that a stream ended without its end marker, or that a request
// failed after it may have reached the engine. The engine may still be generating.
type BrokenStreamError struct {
	Generation core.GenerationID
	Last       core.Sequence // last sequence number read; zero if none
	Err        error
}

// Error implements error.
func (e *BrokenStreamError) Error() string {
	return fmt.Sprintf("stream %s broke after token %d: %v", e.Generation, e.Last, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenStreamError) Unwrap() error { return e.Err }
