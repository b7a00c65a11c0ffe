package weights

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// Claim is a demand of a target's owner for the data centre's slot.
type Claim struct {
	Target   core.TargetID
	Fence    core.Fence
	Declared []core.TargetID // all targets of the data centre
}

// Acquire returns the slot as the claimant writes it, and whether it may.
func (c Claim) Acquire(current Slot) (Slot, bool) {
	mine := Slot{Target: c.Target, Fence: c.Fence}
	switch {
	case current.Target == c.Target:
		return mine, current.Fence <= c.Fence
	case slices.Contains(c.Declared, current.Target):
		return current, false
	}
	return mine, true
}

// CanRelease reports whether the claimant holds the slot, so that it may free it. A former
// owner of the target must not free the slot that its successor holds.
func (c Claim) CanRelease(current Slot) bool {
	return current.Target == c.Target && current.Fence <= c.Fence
}
