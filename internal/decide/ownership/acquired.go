package ownership

import "siskintide.example/siskintide/internal/core"

// Acquired reports that this host now owns a target.
type Acquired struct {
	Target core.TargetID
	Fence  core.Fence
}

func (Acquired) ownershipEffect() {}
