package operatorclient

import (
	"fmt"
	"strings"
)

// UnreachableError reports that no host answered.
type UnreachableError struct {
	Addresses []string
	Err       error // failure of the last host
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Err)
}

// Unwrap returns the failure of the last host.
func (e *UnreachableError) Unwrap() error { return e.Err }
