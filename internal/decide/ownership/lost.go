package ownership

import "siskintide.example/siskintide/internal/core"

// Lost reports that this host no longer owns a target.
type Lost struct {
	Target core.TargetID
}

func (Lost) ownershipEffect() {}
