package callerapi

import "fmt"

// contentPartError reports a content part that is not of type text.
type contentPartError struct {
	Type string
}

// Error implements error.
func (e *contentPartError) Error() string {
	return fmt.Sprintf("content part of type %.40q is not served", e.Type)
}
