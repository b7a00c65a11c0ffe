package operatorapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// Conflict says what came between the reading of a plan and its confirmation.
type Conflict struct {
	Base    core.Revision `json:"base"`              // revision that the plan was worked out from
	Current core.Revision `json:"current"`           // accepted by now
	Plans   []core.PlanID `json:"plans"`             // confirmed since Base, oldest first
	Steps   []plan.Step   `json:"steps,omitempty"`   // difference from Base, if Base could be read
	Plan    *plan.Plan    `json:"plan,omitempty"`    // the same intent on Current, to be read again
	Refusal *plan.Refusal `json:"refusal,omitempty"` // why there is no such plan
}
