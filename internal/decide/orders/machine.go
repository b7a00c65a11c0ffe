package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Machine decides the orders for one target while this host owns it. It is not safe for
// concurrent use. Executors carry out effects in their order.
type Machine struct {
	timing   Timing
	fence    core.Fence
	until    time.Time // end of the ownership lease on this host's monotonic clock; zero if not owned
	wanted   Version
	beside   bool          // the engine can hold the wanted version beside another one
	state    StateResponse // last state that the engine reported
	fresh    bool          // the state was read after the last order and under this ownership
	nextRead time.Time
	readWait time.Time // an unanswered ReadState counts until then
	readID   uint64    // only the answer to this read counts
	old      int       // running streams of versions other than the wanted one
	slot     bool
	asked    bool      // TakeSlot was emitted and not answered
	askAfter time.Time // no TakeSlot before then
	stopped  bool      // StopWork was emitted
	loading  time.Time // when the load that holds the slot was ordered; zero if none
	heardAt  time.Time // last answer of the engine under this ownership, or its start
	switched Version   // version that callers were last told to use
}

// New returns the machine of a target that is not owned yet.
func New(timing Timing) *Machine { return &Machine{timing: timing} }

// SetDesired sets the declared version, and whether the engine can hold it beside another
// one. If it cannot, the target stops work and its streams end before the old version is
// unloaded.
func (m *Machine) SetDesired(wanted Version, beside bool, now time.Time) []Effect {
	m.wanted = wanted
	m.beside = beside
	return m.next(now)
}

// SetOwnership sets the ownership: its fence and the end of its lease. A renewal keeps the
// fence; another fence forgets what was known of the engine.
func (m *Machine) SetOwnership(fence core.Fence, until, now time.Time) []Effect {
	if fence != m.fence {
		m.forget()
		m.nextRead = now
		m.heardAt = now
	}
	m.fence = fence
	m.until = until
	return m.next(now)
}

// EndOwnership ends the ownership. A slot that is held is given back.
func (m *Machine) EndOwnership() []Effect {
	m.until = time.Time{}
	m.forget()
	m.stopped = false
	m.switched = Version{}
	return m.giveSlot()
}

// forget makes what is known of the engine, and any read that is under way, count as old.
func (m *Machine) forget() {
	m.fresh = false
	m.readID++
	m.readWait = time.Time{}
}

// SetOldStreams sets the number of running streams that use another version than the wanted one.
func (m *Machine) SetOldStreams(count int, now time.Time) []Effect {
	m.old = count
	return m.next(now)
}

// HandleLoadSlot takes the answer to TakeSlot; every TakeSlot is answered once. A slot that
// comes after the ownership has ended is given back.
func (m *Machine) HandleLoadSlot(granted bool, now time.Time) []Effect {
	m.asked = false
	if granted && !m.owned(now) {
		return []Effect{ReleaseLoadSlot{}}
	}
	m.slot = granted
	if !granted {
		m.askAfter = now.Add(m.timing.BusyReadInterval)
		return nil
	}
	return m.next(now)
}

// HandleState takes the answer to ReadState.
func (m *Machine) HandleState(read StateResponse, now time.Time) []Effect {
	if !m.owned(now) || read.ID != m.readID {
		return nil
	}
	m.readWait = time.Time{}
	if !read.OK {
		return nil
	}
	if read.Incarnation != m.state.Incarnation {
		m.loading = time.Time{} // a new start of the engine holds nothing of an earlier order
		m.switched = Version{}  // and its streams begin on its built-in version
	}
	m.state = read
	m.heardAt = now
	m.fresh = true
	return m.next(now)
}

// Tick reads the state when a read is due and goes on.
func (m *Machine) Tick(now time.Time) []Effect { return m.next(now) }

func (m *Machine) owned(now time.Time) bool { return now.Before(m.until) }

// next returns what is to be done now.
func (m *Machine) next(now time.Time) []Effect {
	if !m.owned(now) || m.wanted == (Version{}) {
		return nil
	}
	effects := append(m.silent(now), m.read(now)...)
	if !m.fresh {
		return effects
	}
	held, known := m.held(m.wanted)
	switch {
	case known && held.Ready:
		effects = append(effects, m.ready(now)...)
	case known:
		effects = append(effects, m.overdue(now)...)
	default:
		effects = append(effects, m.load(now)...)
	}
	return effects
}

// read asks for the state: often while something is under way, seldom at rest.
func (m *Machine) read(now time.Time) []Effect {
	if now.Before(m.nextRead) || now.Before(m.readWait) {
		return nil
	}
	wait := m.timing.IdleReadInterval
	if !m.fresh || !m.atRest() {
		wait = m.timing.BusyReadInterval
	}
	m.nextRead = now.Add(wait)
	m.readWait = now.Add(m.timing.OrderTimeout)
	m.readID++
	return []Effect{ReadState{ID: m.readID}}
}

// atRest reports whether the engine holds the wanted version, ready, and nothing else.
func (m *Machine) atRest() bool {
	held, known := m.held(m.wanted)
	return known && held.Ready && len(m.state.Versions) == 1
}

func (m *Machine) held(version Version) (LoadedVersion, bool) {
	for _, held := range m.state.Versions {
		if held.Version == version {
			return held, true
		}
	}
	return LoadedVersion{}, false
}
