package peer

import "fmt"

// AddressError reports a peer address that is not an IP number and port.
type AddressError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("peer address %.60q is not IP:port: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }
