package platform

import "fmt"

// StatusError reports an HTTP status that is an error or that the protocol does not define
// for the call.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
