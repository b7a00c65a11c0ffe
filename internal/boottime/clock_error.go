package boottime

import "fmt"

// ClockError reports that the kernel does not give the time since the machine's start.
type ClockError struct {
	Cause error
}

// Error implements error.
func (e *ClockError) Error() string { return fmt.Sprintf("clock of time since start: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ClockError) Unwrap() error { return e.Cause }
