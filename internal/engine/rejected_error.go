package engine

import "fmt"

// RejectedError reports that the engine refused a call with an HTTP status. A refused
// request for a stream has not generated any token.
type RejectedError struct {
	Status int
	Type   string // the engine's own error type, such as "overloaded" or "stale_fence"
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("engine refused with status %d (%s)", e.Status, e.Type)
}
