package gateway

import "fmt"

// UnnumberedEventError reports that an engine that goes on with a stream has sent an event without an id, of which
// the caller may have it already.
type UnnumberedEventError struct {
	Last int64 // id of the last event that the caller has
}

// Error implements error.
func (e *UnnumberedEventError) Error() string {
	return fmt.Sprintf("event without an id after event %d", e.Last)
}
