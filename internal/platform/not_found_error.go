package platform

import "fmt"

// NotFoundError reports that there is no object with the key.
type NotFoundError struct {
	Key string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no object %q", e.Key) }
