package gateway

import "fmt"

// Phases of an exchange with a target.
const (
	phaseRequest = "request" // until the response header has arrived
	phaseAnswer  = "answer"  // the body of a response that is read as a whole
	phaseStream  = "stream"  // the events of a stream
)

// ExchangeError reports that the exchange with a target failed after the request may have
// reached it.
type ExchangeError struct {
	Address string
	Phase   string // what was being transferred
	Cause   error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s: %s interrupted: %v", e.Address, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
