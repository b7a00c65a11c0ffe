package configcodec

import "fmt"

// FormatError reports bytes that are not an encoded configuration or head.
type FormatError struct {
	Err error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("not an encoded configuration: %v", e.Err) }

// Unwrap returns the failure of the codec.
func (e *FormatError) Unwrap() error { return e.Err }
