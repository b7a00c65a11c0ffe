package plan

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// StaleError reports a plan that was computed from a revision other than the current one.
type StaleError struct {
	Base    core.Revision
	Current core.Revision
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the plan is based on revision %d, but revision %d is accepted", e.Base, e.Current)
}
