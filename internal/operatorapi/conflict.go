package operatorapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/plan"
)

// Conflict describes the changes that were accepted between planning and confirmation.
type Conflict struct {
	Base    core.Revision `json:"base"`              // revision that the plan was computed from
	Current core.Revision `json:"current"`           // revision accepted now
	Plans   []core.PlanID `json:"plans"`             // plans confirmed since Base, oldest first
	Steps   []plan.Step   `json:"steps,omitempty"`   // differences between Base and Current, if Base could be read
	Plan    *plan.Plan    `json:"plan,omitempty"`    // the same intent planned on Current, to be reviewed
	Refusal *plan.Refusal `json:"refusal,omitempty"` // reason if there is no such plan
}
