package claims

import "fmt"

// RowError reports a claim's row whose content this version of the system does not write.
type RowError struct {
	Reason string
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("unreadable claim: %s", e.Reason) }
