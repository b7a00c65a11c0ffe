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
	position    core.StorePosition // all changes of the store up to this position are included
	unavailable bool
	currentAt   time.Duration // latest time at which the registry is known to have been current
	availableAt time.Duration // end of the latest outage
	outage      bool          // the store has been unavailable at least once
	copied      copied        // what the store has had since it was restored from a copy
	gone        map[core.TargetID]goneTarget
	saidLeaving map[core.TargetID]goneTarget // targets that have said themselves that they leave
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: map[core.TargetID]Entry{}, gone: map[core.TargetID]goneTarget{}, saidLeaving: map[core.TargetID]goneTarget{}}
}

// Position returns the position of the store up to which all changes are included.
func (r *Registry) Position() core.StorePosition { return r.position }

// Advance records that all changes of the store up to a position are included.
func (r *Registry) Advance(position core.StorePosition) { r.position = r.position.Later(position) }

// Superseded reports whether this or a newer state of an entry is known, which may be that it has
// been removed. The position of an entry alone does not tell: a hub leaves out writes that change
// nothing.
func (r *Registry) Superseded(registration core.Registration) bool {
	return r.superseded(registration.Target, registration.Position())
}

func (r *Registry) superseded(id core.TargetID, position core.StorePosition) bool {
	entry, known := r.entries[id]
	return !r.position.Before(position) || known && position.Before(entry.Position())
}

// Put adds or replaces one entry. It returns false and changes nothing if it is superseded.
func (r *Registry) Put(registration core.Registration, now time.Duration) bool {
	if r.Superseded(registration) {
		return false
	}
	if r.copied.covers(registration.Position()) {
		var ok bool
		if registration, ok = r.reconcile(registration); !ok {
			return false
		}
	}
	delete(r.gone, registration.Target)
	delete(r.copied.withheld, registration.Target)
	registration.Leaving = registration.Leaving || r.hasSaidLeaving(registration)
	entry := Entry{Registration: registration, SeenAt: now, MissingSince: present}
	entry.ColdUntil = now + registration.ColdLeft
	r.entries[registration.Target] = entry
	return true
}

// Remove removes an entry unless a newer state of it is known. During the grace period after an
// outage a target that is not leaving is only marked as missing, because live targets whose
// entries expired register again.
func (r *Registry) Remove(removal core.Removal, now time.Duration) {
	if r.superseded(removal.Target, removal.Position()) {
		return
	}
	delete(r.copied.withheld, removal.Target)
	entry, ok := r.entries[removal.Target]
	if !ok {
		return
	}
	if entry.Leaving || !r.InGracePeriod(now) {
		r.drop(entry, now)
		return
	}
	if entry.MissingSince == present {
		entry.MissingSince = now
		r.entries[removal.Target] = entry
	}
}

// MarkLeaving marks an entry as leaving, whose target has said so itself. It stays so until the target
// starts again: many targets never write that they leave. It reports whether that changes the entry.
func (r *Registry) MarkLeaving(id core.TargetID, now time.Duration) bool {
	entry, ok := r.entries[id]
	if !ok {
		return false
	}
	r.saidLeaving[id] = goneTarget{born: entry.Born, at: now}
	if entry.Leaving {
		return false
	}
	entry.Leaving = true
	r.entries[id] = entry
	return true
}

// hasSaidLeaving reports whether the target of an entry has said that it leaves.
func (r *Registry) hasSaidLeaving(registration core.Registration) bool {
	said, ok := r.saidLeaving[registration.Target]
	return ok && registration.Born <= said.born
}

// RemoveNow removes an entry that another host does not have any more, even during the grace period, unless a
// newer state is known. The position may be the one that is known: a host drops a missing entry after its
// grace period, without a write to the store.
func (r *Registry) RemoveNow(removal core.Removal, now time.Duration) {
	entry, known := r.entries[removal.Target]
	if removal.Position().Before(r.position) || known && removal.Position().Before(entry.Position()) {
		return
	}
	delete(r.copied.withheld, removal.Target)
	if known {
		r.drop(entry, now)
	}
}

// Restarted reports whether an entry that is not known is that of a target which was dropped a while ago and has
// started again since.
func (r *Registry) Restarted(registration core.Registration) bool {
	former, ok := r.gone[registration.Target]
	return ok && former.born != registration.Born
}

// drop deletes an entry, and remembers which target it was for a while.
func (r *Registry) drop(entry Entry, now time.Duration) {
	delete(r.entries, entry.Target)
	r.gone[entry.Target] = goneTarget{born: entry.Born, at: now}
}

// ReplaceNow replaces all entries that are not newer with the registry of another host as of a
// position, without a grace period: the other host has already waited for targets to register
// again if needed.
func (r *Registry) ReplaceNow(all []core.Registration, position core.StorePosition, now time.Duration) {
	for _, removal := range r.merge(all, position, now) {
		r.RemoveNow(removal, now)
	}
	r.Advance(position)
}

// Replace replaces all entries that are not newer with those of a full read of the store as of a
// position. Entries that are missing from it are removed as by Remove.
func (r *Registry) Replace(all []core.Registration, position core.StorePosition, now time.Duration) {
	for _, removal := range r.merge(all, position, now) {
		r.Remove(removal, now)
	}
	r.Advance(position)
}

// merge puts the entries of a full list as of a position, and returns the removals of those that
// are missing from it.
func (r *Registry) merge(all []core.Registration, position core.StorePosition, now time.Duration) []core.Removal {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	var missing []core.Removal
	for id := range r.entries {
		if !listed[id] {
			missing = append(missing, core.Removal{Target: id, Revision: position.Revision, Era: position.Era})
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

// Expire removes targets that are still missing after the grace period, and adds those that turned out
// not to be gone. It reports whether there were any.
func (r *Registry) Expire(now time.Duration) bool {
	r.forgetGone(now)
	changed := r.releaseWithheld(now)
	if r.InGracePeriod(now) {
		return changed
	}
	for _, entry := range r.entries {
		if entry.MissingSince != present {
			r.drop(entry, now)
			changed = true
		}
	}
	return changed
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
