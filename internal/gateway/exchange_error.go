package gateway

import "fmt"

// ExchangeError reports that the exchange with a target failed after the request may have
// reached it.
type ExchangeError struct {
	Address string
	Phase   string // what was being transferred: "request", "answer" or "stream"
	Cause   error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s: %s interrupted: %v", e.Address, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
