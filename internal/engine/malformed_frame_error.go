package engine

import "fmt"

// MalformedFrameError reports a line of a stream that does not follow the protocol.
type MalformedFrameError struct {
	Line   string // first bytes of the line
	Reason string
}

// Error implements error.
func (e *MalformedFrameError) Error() string {
	return fmt.Sprintf("malformed frame: %s: %.80q", e.Reason, e.Line)
}
