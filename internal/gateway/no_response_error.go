package gateway

import "fmt"

// NoResponseError reports that an engine sent no complete response to a call.
type NoResponseError struct {
	Address string
	// Gone is set if the engine refused the connection: its process has ended.
	Gone  bool
	Cause error
}

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("engine %s sent no response: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }
