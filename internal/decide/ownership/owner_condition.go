package ownership

import "siskintide.example/siskintide/internal/core"

// OwnerCondition requires the version of a target's owner row; 0 requires its absence.
type OwnerCondition struct {
	Target  core.TargetID
	Version uint64
}
