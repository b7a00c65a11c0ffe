package loadgen

import "fmt"

// brokenError reports a request without a response, or a response that broke off or could
// not be read.
type brokenError struct {
	err error
}

// Error implements error.
func (e *brokenError) Error() string { return fmt.Sprintf("broken: %v", e.err) }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.err }
