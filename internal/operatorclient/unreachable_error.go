package operatorclient

import (
	"fmt"
	"strings"
)

// UnreachableError reports that no host responded.
type UnreachableError struct {
	Addresses []string
	Err       error // error from the last host tried
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Err)
}

// Unwrap returns the error from the last host tried.
func (e *UnreachableError) Unwrap() error { return e.Err }
