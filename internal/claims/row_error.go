package claims

import "fmt"

// RowError reports a claim's row that this version of the system did not write.
type RowError struct {
	Reason string
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("unreadable claim: %s", e.Reason) }
