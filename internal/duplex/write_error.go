package duplex

import "fmt"

// WriteError reports that a connection broke while it was written to. What was read from it may be cut off.
type WriteError struct {
	Cause error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("connection broke: %v", e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }
