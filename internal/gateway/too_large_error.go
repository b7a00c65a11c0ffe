package gateway

import "fmt"

// TooLargeError reports a part of a request or response that exceeds its size limit.
type TooLargeError struct {
	Part  string
	Limit int64 // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds %d bytes", e.Part, e.Limit)
}
