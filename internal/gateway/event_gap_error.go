package gateway

import "fmt"

// EventGapError reports that one or more events of a stream are missing.
type EventGapError struct {
	Last, Got int64 // ids of the events before and after the gap
}

// Error implements error.
func (e *EventGapError) Error() string {
	return fmt.Sprintf("event %d came after event %d", e.Got, e.Last)
}
