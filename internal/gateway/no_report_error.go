package gateway

import "fmt"

// NoReportError reports that an engine has answered a request for its report without one.
type NoReportError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *NoReportError) Error() string {
	return fmt.Sprintf("engine %s gives no report: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NoReportError) Unwrap() error { return e.Cause }
