package loadgen

import "fmt"

// brokenError reports an answer that ended in the middle, or never began.
type brokenError struct {
	err error
}

// Error implements error.
func (e *brokenError) Error() string { return fmt.Sprintf("broken: %v", e.err) }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.err }
