package gateway

import "fmt"

// ResponseMismatchError reports a response that belongs to another request.
type ResponseMismatchError struct {
	Want, Got string
}

// Error implements error.
func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("response belongs to request %.40q, not to %.40q", e.Got, e.Want)
}
