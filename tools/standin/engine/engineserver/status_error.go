package engineserver

import "fmt"

// refusal is why a call is not served.
type refusal struct {
	status int
	kind   string
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("status %d: %s", r.status, r.kind) }
