package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Machine decides the orders for one target while this host owns it. It is not safe for
// concurrent use. The caller performs the effects in their order.
type Machine struct {
	timing          Timing
	fence           core.Fence
	leaseExpiresAt  time.Time // of the ownership lease, on this host's monotonic clock; zero if not owned
	desired         Version
	holdsTwo        bool          // the engine can hold the desired version beside another one
	checksFences    bool          // the engine refuses an order with an old fence, and reports the last one
	state           StateResponse // latest state that the engine reported
	stateCurrent    bool          // state was read after the last order and under this ownership
	nextReadAt      time.Time
	readExpiresAt   time.Time // no other read while one is unanswered, until then
	readID          uint64    // only the response to this read is accepted
	oldStreams      int       // running streams of versions other than the desired one
	hasSlot         bool
	slotRequested   bool      // AcquireLoadSlot was returned and has not been answered
	nextSlotRequest time.Time // no AcquireLoadSlot before then
	workStopped     bool      // StopNewWork was returned
	loadOrderedAt   time.Time // when the load that uses the slot was ordered; zero if none
	lastResponseAt  time.Time // of the engine under this ownership, or the start of the ownership
	activeVersion   Version   // version of the latest SwitchVersion
}

// New returns the machine of a target that is not owned yet.
func New(timing Timing) *Machine { return &Machine{timing: timing} }

// SetDesired sets the declared version, and whether the engine can hold it beside another
// one. If it cannot, the target gets no new work and its streams end before the old
// version is unloaded.
func (m *Machine) SetDesired(desired Version, holdsTwo bool, now time.Time) []Effect {
	m.desired = desired
	m.holdsTwo = holdsTwo
	return m.advance(now)
}

// SetChecksFences sets whether the engine refuses an order with a fence lower than that of the
// last order that it has accepted.
func (m *Machine) SetChecksFences(checksFences bool) { m.checksFences = checksFences }

// SetOwnership sets the fence of the ownership and the end of its lease. A renewal keeps
// the fence; a new fence invalidates the known state of the engine.
func (m *Machine) SetOwnership(fence core.Fence, leaseExpiresAt, now time.Time) []Effect {
	if fence != m.fence {
		m.invalidateState()
		m.nextReadAt = now
		m.lastResponseAt = now
	}
	m.fence = fence
	m.leaseExpiresAt = leaseExpiresAt
	return m.advance(now)
}

// EndOwnership ends the ownership and releases the slot if it is held.
func (m *Machine) EndOwnership() []Effect {
	m.leaseExpiresAt = time.Time{}
	m.invalidateState()
	m.workStopped = false
	m.activeVersion = Version{}
	return m.releaseSlot()
}

// invalidateState marks the known state of the engine as out of date and ignores the
// response to a pending read.
func (m *Machine) invalidateState() {
	m.stateCurrent = false
	m.readID++
	m.readExpiresAt = time.Time{}
}

// SetOldStreams sets the number of running streams that use another version than the
// desired one.
func (m *Machine) SetOldStreams(count int, now time.Time) []Effect {
	m.oldStreams = count
	return m.advance(now)
}

// HandleLoadSlot handles the response to AcquireLoadSlot, which is answered exactly once. A
// slot that is granted after the ownership has ended is released.
func (m *Machine) HandleLoadSlot(granted bool, now time.Time) []Effect {
	m.slotRequested = false
	if granted && !m.owned(now) {
		return []Effect{ReleaseLoadSlot{}}
	}
	m.hasSlot = granted
	if !granted {
		m.nextSlotRequest = now.Add(m.timing.BusyReadInterval)
		return nil
	}
	return m.advance(now)
}

// HandleState handles the response to ReadState.
func (m *Machine) HandleState(response StateResponse, now time.Time) []Effect {
	if !m.owned(now) || response.ID != m.readID {
		return nil
	}
	m.readExpiresAt = time.Time{}
	if !response.OK {
		return nil
	}
	if response.Incarnation != m.state.Incarnation {
		m.loadOrderedAt = time.Time{} // a restarted engine has lost every earlier order
		m.activeVersion = Version{}   // and its streams begin on its built-in version
	}
	m.state = response
	m.lastResponseAt = now
	m.stateCurrent = true
	return m.advance(now)
}

// Tick performs everything that is due at the given time.
func (m *Machine) Tick(now time.Time) []Effect { return m.advance(now) }

func (m *Machine) owned(now time.Time) bool { return now.Before(m.leaseExpiresAt) }

// advance returns the effects that are due.
func (m *Machine) advance(now time.Time) []Effect {
	if !m.owned(now) || m.desired == (Version{}) {
		return nil
	}
	effects := append(m.releaseSlotIfSilent(now), m.readState(now)...)
	if !m.stateCurrent {
		return effects
	}
	loaded, known := m.loaded(m.desired)
	switch {
	case known && loaded.Ready:
		effects = append(effects, m.activate(now)...)
	case known:
		effects = append(effects, m.releaseSlotIfOverdue(now)...)
	default:
		effects = append(effects, m.load(now)...)
	}
	return effects
}

// readState reads the engine's state if a read is due: often while a change is under way,
// seldom otherwise.
func (m *Machine) readState(now time.Time) []Effect {
	if now.Before(m.nextReadAt) || now.Before(m.readExpiresAt) {
		return nil
	}
	interval := m.timing.IdleReadInterval
	if !m.stateCurrent || !m.converged() {
		interval = m.timing.BusyReadInterval
	}
	m.nextReadAt = now.Add(interval)
	m.readExpiresAt = now.Add(m.timing.OrderTimeout)
	m.readID++
	return []Effect{ReadState{ID: m.readID}}
}

// converged reports whether the engine holds the desired version, ready, and no other.
func (m *Machine) converged() bool {
	loaded, known := m.loaded(m.desired)
	return known && loaded.Ready && len(m.state.Versions) == 1
}

// loaded returns the entry of a version in the engine's state, if there is one.
func (m *Machine) loaded(version Version) (LoadedVersion, bool) {
	for _, loaded := range m.state.Versions {
		if loaded.Version == version {
			return loaded, true
		}
	}
	return LoadedVersion{}, false
}
