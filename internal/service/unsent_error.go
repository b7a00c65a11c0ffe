package service

import "fmt"

// UnsentError reports that no connection to the service was made, so that no byte of the
// call reached it.
type UnsentError struct {
	Address string // IP and port
	Err     error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("service %s: call not sent: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }
