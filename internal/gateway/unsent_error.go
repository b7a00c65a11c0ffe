package gateway

import "fmt"

// UnsentError reports that no byte of the request reached the target.
type UnsentError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnsentError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }
