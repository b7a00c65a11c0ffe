package platform

import (
	"fmt"
	"strings"
)

// ConflictError reports that conditions of a transaction did not hold. Nothing was
// written.
type ConflictError struct {
	Keys []string // keys whose versions did not match
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflict on %s", strings.Join(e.Keys, ", "))
}
