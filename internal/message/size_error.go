package message

import "fmt"

// SizeError reports a shared value that is too large to be decoded.
type SizeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the value takes more than %d bytes", e.Limit)
}
