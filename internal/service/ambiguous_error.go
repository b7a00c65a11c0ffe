package service

import "fmt"

// AmbiguousError reports that a call failed after a connection to the service had been
// made. The call may have run, or may run later.
type AmbiguousError struct {
	Address string // IP and port
	Err     error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("service %s: outcome unknown: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }
