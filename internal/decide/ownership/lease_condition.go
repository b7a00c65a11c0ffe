package ownership

import "siskintide.example/siskintide/internal/core"

// LeaseCondition requires that a host's lease row has a version; 0 requires that the row
// does not exist.
type LeaseCondition struct {
	Host    core.HostID
	Version uint64
}
