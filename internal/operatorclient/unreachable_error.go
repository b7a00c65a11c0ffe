package operatorclient

import (
	"fmt"
	"strings"
)

// UnreachableError reports that the last host tried did not respond.
type UnreachableError struct {
	Addresses []string // all hosts tried
	Err       error    // error from the last host
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Err)
}

// Unwrap returns the error from the last host.
func (e *UnreachableError) Unwrap() error { return e.Err }
