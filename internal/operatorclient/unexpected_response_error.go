package operatorclient

import "fmt"

// UnexpectedResponseError reports an HTTP response that does not come from the operators'
// interface.
type UnexpectedResponseError struct {
	Address string
	Status  int // HTTP status
}

// Error implements error.
func (e *UnexpectedResponseError) Error() string {
	return fmt.Sprintf("%s answered with HTTP status %d and no known body; is it an admin address?", e.Address, e.Status)
}
