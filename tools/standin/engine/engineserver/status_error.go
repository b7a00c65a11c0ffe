package engineserver

import "fmt"

// statusError is the HTTP status and error type of a refused request.
type statusError struct {
	status int
	kind   string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.kind) }
