package peer

import "fmt"

// FrameError reports a frame that does not follow the protocol.
type FrameError struct {
	Kind  uint64 // zero if the kind could not be read
	Bytes int
	Cause error // nil if the frame is well formed but not expected here
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of kind %d with %d bytes: %v", e.Kind, e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }
