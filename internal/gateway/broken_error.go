package gateway

import "fmt"

// BrokenError reports that the exchange with a target broke after the request may have
// reached it.
type BrokenError struct {
	Address string
	Doing   string // what the exchange was doing
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%s of %s: %v", e.Doing, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
