package confirm

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// Finish ends the machine.
type Finish struct {
	Outcome  Outcome
	Revision core.Revision // revision of the plan, when it is accepted
	Config   *core.Config  // latest accepted configuration that was read, or nil
	Refusal  *plan.Refusal // set when the outcome is Refused
}

func (Finish) step() {}
