package engine

import "fmt"

// UnsentError reports that no connection to the engine was made, so that no byte of the
// request reached it.
type UnsentError struct {
	Address string // IP and port
	Err     error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("engine %s: request not sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
