package commandline

import (
	"fmt"

	"siskintide.example/siskintide/internal/core"
)

// DeclinedError reports that the operator did not confirm a plan.
type DeclinedError struct {
	Plan core.PlanID
}

// Error implements error.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("plan %s was not confirmed; nothing was changed", e.Plan)
}
