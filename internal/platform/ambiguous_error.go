package platform

import "fmt"

// AmbiguousError reports that no usable response to a write arrived. The write may have
// taken effect, or may still do so.
type AmbiguousError struct {
	Call string // method and path
	Err  error
}

// Error implements error.
func (e *AmbiguousError) Error() string {
	return fmt.Sprintf("outcome at the platform unknown: %s: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Err }
