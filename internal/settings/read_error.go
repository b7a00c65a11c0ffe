package settings

import "fmt"

// ReadError reports a file that cannot be read.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Path, e.Err) }

// Unwrap returns the error of the file system.
func (e *ReadError) Unwrap() error { return e.Err }
