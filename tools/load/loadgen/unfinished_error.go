package loadgen

import "fmt"

// unfinishedError reports a request that was cancelled at the end of the run.
type unfinishedError struct {
	err error
}

// Error implements error.
func (e *unfinishedError) Error() string { return fmt.Sprintf("unfinished: %v", e.err) }

// Unwrap returns the cause.
func (e *unfinishedError) Unwrap() error { return e.err }
