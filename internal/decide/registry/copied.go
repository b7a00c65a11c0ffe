package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// copyHold is how long an entry of a gone target is withheld after the store was restored. The target
// would have written it again by then, and the store would have dropped it after three missed
// heartbeats.
const copyHold = 6 * time.Second

// copied tells the entries that the store may have from a copy from those written since.
type copied struct {
	first      core.StorePosition // of the first read in the current era; zero if the era began before
	restoredAt time.Duration      // of that read
	withheld   map[core.TargetID]core.Registration
}

// covers reports whether a row may come from the copy.
func (c *copied) covers(position core.StorePosition) bool {
	return c.first.Era > 0 && position.Era == c.first.Era && !c.first.Before(position)
}

// BeginEra records that the store was restored from a copy and read at the position for the first time.
// Targets may take a while to register again, as after an outage.
func (r *Registry) BeginEra(position core.StorePosition, now time.Duration) {
	r.copied = copied{first: position, restoredAt: now, withheld: map[core.TargetID]core.Registration{}}
	r.unavailable, r.outage, r.availableAt = false, true, now
}

// reconcile returns what is taken over from an entry that may come from a copy: a target that was leaving
// or has started again since has not gone back. It returns false if the target is known to be gone.
func (r *Registry) reconcile(row core.Registration) (core.Registration, bool) {
	if gone, ok := r.gone[row.Target]; ok && row.Born <= gone.born {
		r.copied.withheld[row.Target] = row
		return row, false
	}
	known, ok := r.entries[row.Target]
	switch {
	case !ok || row.Born > known.Born:
		return row, true
	case row.Born == known.Born:
		row.Leaving = row.Leaving || known.Leaving
		return row, true
	default:
		kept := known.Registration
		kept.Revision, kept.Era = row.Revision, row.Era
		return kept, true
	}
}

// releaseWithheld adds the entries that are still in the store after copyHold, and reports whether there
// were any.
func (r *Registry) releaseWithheld(now time.Duration) bool {
	if len(r.copied.withheld) == 0 || now < r.copied.restoredAt+copyHold {
		return false
	}
	for id, row := range r.copied.withheld {
		delete(r.gone, id)
		row.Leaving = row.Leaving || r.hasSaidLeaving(row)
		r.entries[id] = Entry{Registration: row, SeenAt: now, ColdUntil: now + row.ColdLeft, MissingSince: present}
	}
	clear(r.copied.withheld)
	return true
}

// forgetGone forgets targets that were removed long ago.
func (r *Registry) forgetGone(now time.Duration) {
	for id, gone := range r.gone {
		if now-gone.at >= goneTTL {
			delete(r.gone, id)
		}
	}
	for id, said := range r.saidLeaving {
		if now-said.at >= leavingTTL {
			delete(r.saidLeaving, id)
		}
	}
}
