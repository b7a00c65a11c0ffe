package weights

import (
	"slices"

	"siskintide.example/siskintide/internal/core"
)

// Claim is an attempt of a target's owner to acquire or release the data centre's load slot.
type Claim struct {
	Target   core.TargetID
	Fence    core.Fence
	Declared []core.TargetID // all targets of the data centre
}

// Acquire returns the slot to be written, and true if the claimant may acquire it. Otherwise
// another declared target holds the slot, or a later owner of the claimant's target does.
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

// CanRelease reports whether the claimant holds the slot. A former owner of the target must
// not release the slot that a later owner holds.
func (c Claim) CanRelease(current Slot) bool {
	return current.Target == c.Target && current.Fence <= c.Fence
}
