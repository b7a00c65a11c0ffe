package gateway

import "fmt"

// LastEventError reports that the id of the last event that a caller has is not that of an event.
type LastEventError struct {
	ID string
}

// Error implements error.
func (e *LastEventError) Error() string {
	return fmt.Sprintf("the id of the last event is no number: %q", e.ID)
}
