package platform

import "fmt"

// NotFoundError reports that no object has the key.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no object %q", e.Key) }
