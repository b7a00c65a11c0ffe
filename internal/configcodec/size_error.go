package configcodec

import "fmt"

// SizeError reports a body that is larger than MaxBytes.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("body of %d bytes is larger than %d", e.Bytes, MaxBytes)
}
