package loadgen

import "fmt"

// refusedError reports a request that was refused, or a stream that ended with an error
// event.
type refusedError struct {
	errorType string // error type from the response body, or status_N
	run       string // core.RunState from the response body: whether the request ran
}

// Error implements error.
func (e *refusedError) Error() string { return fmt.Sprintf("refused: %s (%s)", e.errorType, e.run) }
