package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// gracePeriod is how long after the store becomes available again live targets may take to
// register again: about two seconds by the store's contract.
const gracePeriod = 2 * time.Second

// minOutage is the shortest time without a read of the registry in which the entry of a live
// target can expire: three heartbeats of 1.2 s, of which one may have passed before.
const minOutage = 2 * time.Second

// Registry is one host's copy of the registry. It must be used by one goroutine only.
type Registry struct {
	entries     map[core.TargetID]Entry
	unavailable bool
	lastRead    time.Duration // last read of the registry before the outage
	availableAt time.Duration // end of the latest outage
	outage      bool          // the store has been unavailable at least once
}

// New returns an empty registry.
func New() *Registry { return &Registry{entries: map[core.TargetID]Entry{}} }

// Put adds or replaces one entry. It returns false and changes nothing if a newer state of
// the entry is known.
func (r *Registry) Put(registration core.Registration, now time.Duration) bool {
	known, ok := r.entries[registration.Target]
	if ok && known.Revision > registration.Revision {
		return false
	}
	entry := Entry{Registration: registration, SeenAt: now, MissingSince: present}
	entry.ColdUntil = now + registration.ColdLeft
	r.entries[registration.Target] = entry
	return true
}

// Remove removes an entry. During the grace period after an outage a target that is not
// leaving is only marked as missing, because live targets whose entries expired register
// again.
func (r *Registry) Remove(id core.TargetID, now time.Duration) {
	entry, ok := r.entries[id]
	if !ok {
		return
	}
	if entry.Leaving || !r.InGracePeriod(now) {
		delete(r.entries, id)
		return
	}
	if entry.MissingSince == present {
		entry.MissingSince = now
		r.entries[id] = entry
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

// RemoveNow removes an entry even during the grace period.
func (r *Registry) RemoveNow(id core.TargetID) { delete(r.entries, id) }

// ReplaceNow replaces all entries with the registry of another host, without a grace
// period: the other host has already waited for targets to register again if needed.
func (r *Registry) ReplaceNow(all []core.Registration, now time.Duration) {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	for id := range r.entries {
		if !listed[id] {
			r.RemoveNow(id)
		}
	}
}

// Replace replaces all entries with those of a full read of the store. Entries that are
// missing from it are removed as by Remove.
func (r *Registry) Replace(all []core.Registration, now time.Duration) {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// HandleStoreLost records that the store does not answer, and when the registry was last read.
func (r *Registry) HandleStoreLost(lastRead time.Duration) {
	r.unavailable, r.lastRead = true, lastRead
}

// HandleStoreRegained records that the store answers again. It changes nothing if the store
// was not lost. After an outage shorter than minOutage there is no grace period.
func (r *Registry) HandleStoreRegained(now time.Duration) {
	if !r.unavailable {
		return
	}
	r.unavailable = false
	if now-r.lastRead >= minOutage {
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
