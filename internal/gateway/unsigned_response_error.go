package gateway

import "fmt"

// UnsignedResponseError reports a success without the signature that proves that a target made it.
type UnsignedResponseError struct {
	Status int
}

// Error implements error.
func (e *UnsignedResponseError) Error() string {
	return fmt.Sprintf("response with status %d has no signature", e.Status)
}
