package gateway

import "fmt"

// TruncatedStreamError reports that a target has ended its stream in order, but within an event or before the
// first one.
type TruncatedStreamError struct {
	Address string
	Rest    int // bytes after the last complete event
}

// Error implements error.
func (e *TruncatedStreamError) Error() string {
	return fmt.Sprintf("%s: stream ended %d bytes after the end of an event", e.Address, e.Rest)
}
