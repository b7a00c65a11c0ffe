package ownership

import "siskintide.example/siskintide/internal/core"

// LeaseCondition requires the version of a host's lease row; 0 requires its absence.
type LeaseCondition struct {
	Host    core.HostID
	Version uint64
}
