package gateway

import "fmt"

// ForeignAnswerError reports an answer that belongs to another request.
type ForeignAnswerError struct {
	Want, Got string
}

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer of request %.40q where that of %.40q was due", e.Got, e.Want)
}
