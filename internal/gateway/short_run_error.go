package gateway

import "fmt"

// ShortRunError reports that an engine that sends the events of a stream again has ended before the one after which
// it had to go on.
type ShortRunError struct {
	Last, Got int64 // ids of the last event that the caller has, and of the last one that the engine sent
}

// Error implements error.
func (e *ShortRunError) Error() string {
	return fmt.Sprintf("stream ended with event %d, before event %d", e.Got, e.Last)
}
