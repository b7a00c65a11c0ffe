package platform

import "fmt"

// StatusError reports an HTTP status that the platform's protocol does not use for the call.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
