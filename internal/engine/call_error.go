package engine

import "fmt"

// CallError reports that a call failed after a connection to the engine had been made, or
// that the response could not be read. The call may have taken effect.
type CallError struct {
	Address string // IP and port
	Call    string // method and path
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.Address, e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
