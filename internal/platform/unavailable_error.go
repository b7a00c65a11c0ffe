package platform

import "fmt"

// UnavailableError reports that the platform did not serve a call. If the call was a write,
// it did not take effect.
type UnavailableError struct {
	Call string // method and path
	Err  error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
