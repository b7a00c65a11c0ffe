package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// gracePeriod is how long after the store becomes available again live targets may take to
// register again: about two seconds by the store's contract.
const gracePeriod = 2 * time.Second

// minOutage is the shortest time since the registry was current in which the entry of a live
// target can expire: three heartbeats of 1.2 s, of which one may have passed before.
const minOutage = 2 * time.Second

// Registry is one host's copy of the registry. It must be used by one goroutine only.
type Registry struct {
	entries     map[core.TargetID]Entry
	revision    uint64 // all changes of the store up to this revision are included
	unavailable bool
	currentAt   time.Duration // latest time at which the registry is known to have been current
	availableAt time.Duration // end of the latest outage
	outage      bool          // the store has been unavailable at least once
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[core.TargetID]Entry{}} }

// Revision returns the revision of the store up to which all changes are included.
func (r *Registry) Revision() uint64 { return r.revision }

// Advance records that all changes of the store up to a revision are included.
func (r *Registry) Advance(revision uint64) { r.revision = max(r.revision, revision) }

// Superseded reports whether this or a newer state of an entry is known, which may be that it has
// been removed. The revision of an entry alone does not tell: a hub leaves out writes that change
// nothing.
func (r *Registry) Superseded(registration core.Registration) bool {
	return r.superseded(registration.Target, registration.Revision)
}

func (r *Registry) superseded(id core.TargetID, revision uint64) bool {
	return revision <= r.revision || r.entries[id].Revision > revision
}

// Put adds or replaces one entry. It returns false and changes nothing if it is superseded.
func (r *Registry) Put(registration core.Registration, now time.Duration) bool {
	if r.Superseded(registration) {
		return false
	}
	entry := Entry{Registration: registration, SeenAt: now, MissingSince: present}
	entry.ColdUntil = now + registration.ColdLeft
	r.entries[registration.Target] = entry
	return true
}

// Remove removes an entry unless a newer state of it is known. During the grace period after an
// outage a target that is not leaving is only marked as missing, because live targets whose
// entries expired register again.
func (r *Registry) Remove(removal core.Removal, now time.Duration) {
	entry, ok := r.entries[removal.Target]
	if !ok || r.superseded(removal.Target, removal.Revision) {
		return
	}
	if entry.Leaving || !r.InGracePeriod(now) {
		delete(r.entries, removal.Target)
		return
	}
	if entry.MissingSince == present {
		entry.MissingSince = now
		r.entries[removal.Target] = entry
	}
}

// MarkLeaving marks an entry as leaving, whose target has said so itself, until a newer state of
// the entry is known. It reports whether that changes the entry.
func (r *Registry) MarkLeaving(id core.TargetID) bool {
	entry, ok := r.entries[id]
	if !ok || entry.Leaving {
		return false
	}
	entry.Leaving = true
	r.entries[id] = entry
	return true
}

// RemoveNow removes an entry even during the grace period, unless a newer state of it is known.
func (r *Registry) RemoveNow(removal core.Removal) {
	if !r.superseded(removal.Target, removal.Revision) {
		delete(r.entries, removal.Target)
	}
}

// ReplaceNow replaces all entries that are not newer with the registry of another host as of a
// revision, without a grace period: the other host has already waited for targets to register
// again if needed.
func (r *Registry) ReplaceNow(all []core.Registration, revision uint64, now time.Duration) {
	for _, removal := range r.merge(all, revision, now) {
		r.RemoveNow(removal)
	}
	r.Advance(revision)
}

// Replace replaces all entries that are not newer with those of a full read of the store as of a
// revision. Entries that are missing from it are removed as by Remove.
func (r *Registry) Replace(all []core.Registration, revision uint64, now time.Duration) {
	for _, removal := range r.merge(all, revision, now) {
		r.Remove(removal, now)
	}
	r.Advance(revision)
}

// merge puts the entries of a full list as of a revision, and returns the removals of those that
// are missing from it.
func (r *Registry) merge(all []core.Registration, revision uint64, now time.Duration) []core.Removal {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	var missing []core.Removal
	for id := range r.entries {
		if !listed[id] {
			missing = append(missing, core.Removal{Target: id, Revision: revision})
		}
	}
	return missing
}

// HandleStoreLost records that the store does not answer, and when the registry was current.
func (r *Registry) HandleStoreLost(currentAt time.Duration) {
	r.unavailable, r.currentAt = true, currentAt
}

// HandleCurrent records that the registry was current at a time, as another host that reads the
// store has shown. A target that was registered then has not been lost in an outage before.
func (r *Registry) HandleCurrent(at time.Duration) { r.currentAt = max(r.currentAt, at) }

// HandleStoreRegained records that the store answers again. It changes nothing if the store
// was not lost. After an outage shorter than minOutage there is no grace period.
func (r *Registry) HandleStoreRegained(now time.Duration) {
	if !r.unavailable {
		return
	}
	r.unavailable = false
	if now-r.currentAt >= minOutage {
		r.outage, r.availableAt = true, now
	}
}

// Expire removes targets that are still missing after the grace period, and reports
// whether there were any.
func (r *Registry) Expire(now time.Duration) bool {
	if r.InGracePeriod(now) {
		return false
	}
	removed := false
	for id, entry := range r.entries {
		if entry.MissingSince != present {
			delete(r.entries, id)
			removed = true
		}
	}
	return removed
}

// InGracePeriod reports whether missing entries are kept: during an outage of the store
// and for gracePeriod after it.
func (r *Registry) InGracePeriod(now time.Duration) bool {
	return r.unavailable || r.outage && now < r.availableAt+gracePeriod
}

// Digest returns a value that is the same for registries with the same entries, apart from their
// revisions and remaining cold times, and is never zero.
func (r *Registry) Digest() uint64 {
	sum := uint64(len(r.entries)) + 1
	for _, entry := range r.entries {
		sum += entry.digest()
	}
	return max(sum, 1)
}

// Entries returns a copy of all entries.
func (r *Registry) Entries() map[core.TargetID]Entry {
	entries := make(map[core.TargetID]Entry, len(r.entries))
	for id, entry := range r.entries {
		entries[id] = entry
	}
	return entries
}
