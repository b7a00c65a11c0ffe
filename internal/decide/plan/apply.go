package plan

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

const historyPlans = 64 // plans that a configuration remembers, so that a late repeat is recognised

// Apply returns the configuration that a confirmed plan leads to: one revision further,
// with the plan in its history. A plan that is in the history already changes nothing and
// returns current itself. The error is a *StaleError or a *Refusal.
func Apply(current *core.Config, p *Plan) (*core.Config, error) {
	if slices.Contains(current.Plans, p.ID) {
		return current, nil
	}
	if p.Base != current.Revision {
		return nil, &StaleError{Base: p.Base, Current: current.Revision}
	}
	next, err := changed(current, p.Intent)
	if err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Plans = append(next.Plans, p.ID)
	if extra := len(next.Plans) - historyPlans; extra > 0 {
		next.Plans = slices.Delete(next.Plans, 0, extra)
	}
	return next, nil
}
