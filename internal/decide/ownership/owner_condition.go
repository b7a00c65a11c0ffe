package ownership

import "siskintide.example/siskintide/internal/core"

// OwnerCondition requires that a target's owner row has a version; 0 requires that the row
// does not exist.
type OwnerCondition struct {
	Target  core.TargetID
	Version uint64
}
