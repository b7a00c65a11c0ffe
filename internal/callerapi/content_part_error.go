package callerapi

import "fmt"

// partError reports a part of a message that is not text.
type partError struct {
	Type string
}

// Error implements error.
func (e *partError) Error() string {
	return fmt.Sprintf("content part of type %.40q is not served", e.Type)
}
