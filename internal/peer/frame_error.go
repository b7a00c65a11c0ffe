package peer

import "fmt"

// FrameError reports a frame that violates the protocol or cannot be sent.
type FrameError struct {
	Kind  uint64 // zero if the kind could not be read
	Bytes int
	Cause error // nil if only the kind or a length is wrong
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of kind %d with %d bytes: %v", e.Kind, e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }
