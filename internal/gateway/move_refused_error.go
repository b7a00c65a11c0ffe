package gateway

import "fmt"

// MoveRefusedError reports that an engine has responded to a move and has not moved the KV cache.
type MoveRefusedError struct {
	Stopped bool // the engine has stopped the generation all the same
	NoRun   bool // the engine does not run the generation
	Busy    bool // an earlier move of the generation has not ended
	Cause   error
}

// Error implements error.
func (e *MoveRefusedError) Error() string {
	return fmt.Sprintf("move refused, generation stopped %t, no run %t: %v", e.Stopped, e.NoRun, e.Cause)
}

// Unwrap returns the cause.
func (e *MoveRefusedError) Unwrap() error { return e.Cause }
