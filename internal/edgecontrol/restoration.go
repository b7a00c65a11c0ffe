package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// settlePeriod is the time within which the operator and the targets write again what a restored
	// store has lost.
	settlePeriod = 2 * time.Second
)

// restoration is what this host knows of the store's last restoration from a copy. Until the operator has
// written again, configuration and evacuations in the store may be older than what was acknowledged
// before.
type restoration struct {
	noticedAt time.Duration              // first update of the current era
	settled   bool                       // the operator has written again, or had the time to
	stored    core.Revision              // configuration in the store, as read in this era; zero if none was
	before    map[core.DataCentreID]bool // evacuated when the era began
	latest    map[core.DataCentreID]bool // evacuated as of the last update, without before
	merged    bool                       // before is still in force
}

// evacuated returns the data centres that get no new work, given those of an update: for the time in which
// the operator writes again, also those that were evacuated before.
func (r *restoration) evacuated(latest map[core.DataCentreID]bool, now time.Duration) map[core.DataCentreID]bool {
	r.latest = latest
	if !r.merged || now >= r.noticedAt+settlePeriod {
		return latest
	}
	all := make(map[core.DataCentreID]bool, len(latest)+len(r.before))
	for _, set := range []map[core.DataCentreID]bool{latest, r.before} {
		for id, evacuated := range set {
			all[id] = all[id] || evacuated
		}
	}
	return all
}
