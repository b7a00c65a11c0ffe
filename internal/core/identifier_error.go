package core

import "fmt"

// IdentifierError reports text that is not an identifier of the named kind.
type IdentifierError struct {
	Kind string
	Text string
}

// Error implements error.
func (e *IdentifierError) Error() string {
	return fmt.Sprintf("malformed %s identifier %.40q", e.Kind, e.Text)
}
