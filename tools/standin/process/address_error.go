package process

import "fmt"

// AddressError reports a listen address that is not a loopback IP and port.
type AddressError struct {
	Address string
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("listen address %q is not a loopback IP and port", e.Address)
}
