package gateway

import (
	"context"
	"errors"
	"fmt"
)

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
	// Gone is set if the target refused connections after the failure: its process has ended.
	Gone bool
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s: %s interrupted: %v", e.Address, e.Phase, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// probeTarget sets Gone if the error is an *ExchangeError that the sender did not cause by ending the context.
func probeTarget(ctx context.Context, err error) {
	var failed *ExchangeError
	if errors.As(err, &failed) && ctx.Err() == nil {
		failed.Gone = refusesConnections(ctx, failed.Address)
	}
}
