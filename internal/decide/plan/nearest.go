package plan

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// nearest returns the intent closest to a refused one that is not refused, or nil.
func nearest(current *core.Config, intent Intent, load Load, reason Reason) *Intent {
	switch {
	case reason == StillTakingWork:
		return drainRemoved(current, intent, load)
	case reason != Overload && reason != LastOfPool:
		return nil
	case intent.Kind == TakeOut || intent.Kind == Drain:
		return largestDrain(current, intent, load)
	}
	return nil
}

// drainRemoved returns an intent that drains the targets that the declarations would remove.
func drainRemoved(current *core.Config, intent Intent, load Load) *Intent {
	kept := core.NewCatalog(intent.Declarations)
	before := core.NewCatalog(current)
	drain := Intent{Kind: Drain}
	for _, target := range current.Targets {
		if kept.Target(target.ID) == nil && before.Accepts(target.ID) {
			drain.Targets = append(drain.Targets, target.ID)
		}
	}
	if _, err := propose(current, drain, load); err != nil {
		return nil
	}
	return &drain
}

// largestDrain returns an intent that drains as many of the requested targets as allowed,
// trying the least loaded first.
func largestDrain(current *core.Config, intent Intent, load Load) *Intent {
	known := load.byTarget()
	requested := targetsToDrain(current, intent)
	slices.SortStableFunc(requested, func(a, b core.TargetID) int { return known[a].Streams - known[b].Streams })
	drain := Intent{Kind: Drain}
	for _, id := range requested {
		trial := Intent{Kind: Drain, Targets: append(slices.Clone(drain.Targets), id)}
		if _, err := propose(current, trial, load); err == nil {
			drain = trial
		}
	}
	if len(drain.Targets) == 0 {
		return nil
	}
	slices.Sort(drain.Targets)
	return &drain
}

// targetsToDrain returns the targets that take work and that the intent would take out.
func targetsToDrain(current *core.Config, intent Intent) []core.TargetID {
	catalog := core.NewCatalog(current)
	requested := []core.TargetID{}
	for _, target := range current.Targets {
		named := slices.Contains(intent.Targets, target.ID)
		placed := intent.Kind == TakeOut && target.DataCentre == intent.DataCentre
		if catalog.Accepts(target.ID) && (named || placed) {
			requested = append(requested, target.ID)
		}
	}
	return requested
}
