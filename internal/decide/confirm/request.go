package confirm

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// Request is the confirmation of a plan that an operator has read.
type Request struct {
	Plan   core.PlanID
	Base   core.Revision
	Intent plan.Intent
	Load   plan.Load // current load; the plan is checked against it again
}
