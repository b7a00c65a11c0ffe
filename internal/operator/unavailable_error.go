package operator

import "fmt"

// UnavailableError reports that the accepted configuration could not be read.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform did not answer: %v", e.Err)
}

// Unwrap returns the error of the platform client.
func (e *UnavailableError) Unwrap() error { return e.Err }
