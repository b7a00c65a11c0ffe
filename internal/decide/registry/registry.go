package registry

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// returnPeriod is how long after the store's return live targets may take to register
// again: about two seconds by the store's contract.
const returnPeriod = 2 * time.Second

// Registry is the state of the registry as one host knows it. Only one goroutine uses it.
type Registry struct {
	members    map[core.TargetID]Entry
	away       bool
	returnedAt time.Duration
	outage     bool // the store has been away at least once
}

// New returns an empty registry.
func New() *Registry { return &Registry{members: map[core.TargetID]Entry{}} }

// Put takes over one entry. It reports false if a newer state of the entry is known.
func (r *Registry) Put(registration core.Registration, now time.Duration) bool {
	known, ok := r.members[registration.Target]
	if ok && known.Revision > registration.Revision {
		return false
	}
	member := Entry{Registration: registration, SeenAt: now, MissingSince: present}
	member.ColdUntil = now + registration.ColdLeft
	r.members[registration.Target] = member
	return true
}

// Remove takes an entry out. Shortly after an outage the target is kept for a while,
// because live targets whose entries lapsed register again.
func (r *Registry) Remove(id core.TargetID, now time.Duration) {
	member, ok := r.members[id]
	if !ok {
		return
	}
	if member.Leaving || !r.InGracePeriod(now) {
		delete(r.members, id)
		return
	}
	if member.MissingSince == present {
		member.MissingSince = now
		r.members[id] = member
	}
}

// RemoveNow takes an entry out at once.
func (r *Registry) RemoveNow(id core.TargetID) { delete(r.members, id) }

// ReplaceNow takes over the whole registry from another host, which has waited for targets to
// register again where that was due.
func (r *Registry) ReplaceNow(all []core.Registration, now time.Duration) {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	for id := range r.members {
		if !listed[id] {
			r.RemoveNow(id)
		}
	}
}

// Replace takes over the whole registry as of one moment.
func (r *Registry) Replace(all []core.Registration, now time.Duration) {
	listed := make(map[core.TargetID]bool, len(all))
	for _, registration := range all {
		listed[registration.Target] = true
		r.Put(registration, now)
	}
	for id := range r.members {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// HandleStoreLost notes that the store does not answer.
func (r *Registry) HandleStoreLost() { r.away, r.outage = true, true }

// HandleStoreRegained notes that the store answers again. It changes nothing if the store was not away.
func (r *Registry) HandleStoreRegained(now time.Duration) {
	if r.away {
		r.away, r.returnedAt = false, now
	}
}

// Expire drops targets that are still missing when the return period has passed, and
// reports whether there were any.
func (r *Registry) Expire(now time.Duration) bool {
	if r.InGracePeriod(now) {
		return false
	}
	dropped := false
	for id, member := range r.members {
		if member.MissingSince != present {
			delete(r.members, id)
			dropped = true
		}
	}
	return dropped
}

// InGracePeriod reports whether absences are not believed yet.
func (r *Registry) InGracePeriod(now time.Duration) bool {
	return r.away || r.outage && now < r.returnedAt+returnPeriod
}

// Entries returns a copy of all targets.
func (r *Registry) Entries() map[core.TargetID]Entry {
	members := make(map[core.TargetID]Entry, len(r.members))
	for id, member := range r.members {
		members[id] = member
	}
	return members
}
