package boottime

import "fmt"

// ClockError reports that the boot-time clock cannot be read.
type ClockError struct {
	Cause error
}

// Error implements error.
func (e *ClockError) Error() string { return fmt.Sprintf("read boot-time clock: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ClockError) Unwrap() error { return e.Cause }
