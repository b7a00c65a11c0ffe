package platform

import "fmt"

// TooLargeError reports a response body that is larger than the client accepts.
type TooLargeError struct {
	Limit int64 // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("answer is longer than %d bytes", e.Limit)
}
