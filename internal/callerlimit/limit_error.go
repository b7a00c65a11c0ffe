package callerlimit

import "fmt"

// LimitError reports that a caller exceeded a limit, or that there was no room for its request.
type LimitError struct {
	Reason string
}

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("caller refused: %s", e.Reason) }
