package rollout

import "siskintide.example/siskintide/internal/core"

// VersionTargets sums up the targets of one version of a pool.
type VersionTargets struct {
	Slots     int   // of the targets that are ready
	WarmSlots int   // of those of them that are not cold
	Oldest    int64 // start of the oldest target in Unix milliseconds
	Busy      int   // requests that run there
}

// InitialVersion returns the version that is in force in a pool without any rollout: the only one, or the one whose
// oldest target started first, since targets of a new version start beside the old ones. It returns false if the pool
// has no targets.
func InitialVersion(targets map[core.Version]VersionTargets) (core.Version, bool) {
	var best core.Version
	found := false
	for v, t := range targets {
		o := targets[best]
		if !found || t.Oldest < o.Oldest || t.Oldest == o.Oldest && v < best {
			best, found = v, true
		}
	}
	return best, found
}
