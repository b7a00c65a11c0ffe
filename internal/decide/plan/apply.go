package plan

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// maxPlanHistory is the number of plans that a configuration keeps in its history, by which
// a repeated confirmation is recognised.
const maxPlanHistory = 64

// Apply returns the configuration after a confirmed plan: the next revision, with the plan
// in its history. If the plan is in the history already, Apply returns current itself. The
// error is a *StaleError or a *Refusal.
func Apply(current *core.Config, p *Plan) (*core.Config, error) {
	if slices.Contains(current.Plans, p.ID) {
		return current, nil
	}
	if p.Base != current.Revision {
		return nil, &StaleError{Base: p.Base, Current: current.Revision}
	}
	next, err := applyIntent(current, p.Intent)
	if err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Plans = append(next.Plans, p.ID)
	if extra := len(next.Plans) - maxPlanHistory; extra > 0 {
		next.Plans = slices.Delete(next.Plans, 0, extra)
	}
	return next, nil
}
