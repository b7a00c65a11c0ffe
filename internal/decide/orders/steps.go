package orders

import "time"

// load orders the wanted version once a slot of the data centre's budget is held.
func (m *Machine) load(now time.Time) []Effect {
	if !m.slot {
		return m.askSlot(now)
	}
	if !m.beside && len(m.state.Versions) > 0 {
		return m.clear(now)
	}
	if !m.inTime(now) {
		return nil
	}
	m.loading = now
	return m.order(Load, m.wanted, now)
}

func (m *Machine) askSlot(now time.Time) []Effect {
	if m.asked || now.Before(m.askAfter) {
		return nil
	}
	m.asked = true
	return []Effect{AcquireLoadSlot{}}
}

// clear stops new work, waits until running streams have ended, and unloads what the
// engine holds.
func (m *Machine) clear(now time.Time) []Effect {
	if !m.stopped {
		m.stopped = true
		m.switched = Version{}
		return []Effect{StopNewWork{}}
	}
	if m.old > 0 || !m.inTime(now) {
		return nil
	}
	return m.order(Unload, m.state.Versions[0].Version, now)
}

// overdue gives the slot back when a load takes too long, so that others can go on.
func (m *Machine) overdue(now time.Time) []Effect {
	if m.loading.IsZero() || now.Before(m.loading.Add(m.timing.LoadTimeout)) {
		return nil
	}
	return m.giveSlot()
}

// ready lets callers switch, and unloads other versions that no stream uses any more.
func (m *Machine) ready(now time.Time) []Effect {
	effects := m.giveSlot()
	if m.switched != m.wanted {
		m.switched = m.wanted
		m.stopped = false
		return append(effects, SwitchVersion{Version: m.wanted})
	}
	if m.old > 0 || !m.inTime(now) {
		return effects
	}
	for _, held := range m.state.Versions {
		if held.Version != m.wanted {
			return append(effects, m.order(Unload, held.Version, now)...)
		}
	}
	return effects
}

// silent gives the slot back when the engine has not answered for as long as a load may
// take, so that others can go on. A former owner may have left the slot to this target.
func (m *Machine) silent(now time.Time) []Effect {
	if now.Before(m.heardAt.Add(m.timing.LoadTimeout)) {
		return nil
	}
	m.heardAt = now
	m.loading = time.Time{}
	m.slot = false
	return []Effect{ReleaseLoadSlot{}}
}

// inTime reports whether the lease outlasts an order that is sent now.
func (m *Machine) inTime(now time.Time) bool { return now.Before(m.lastSend()) }

// lastSend is the last moment at which an order may be sent.
func (m *Machine) lastSend() time.Time {
	return m.until.Add(-m.timing.OrderTimeout - m.timing.ClockMargin)
}

// order sends an order; the state is read back before the next one.
func (m *Machine) order(kind OrderKind, version Version, now time.Time) []Effect {
	m.forget()
	m.nextRead = now.Add(m.timing.BusyReadInterval)
	return []Effect{SendOrder{
		Fence:    m.fence,
		Kind:     kind,
		Version:  version,
		NotAfter: m.lastSend(),
		Timeout:  m.timing.OrderTimeout,
	}}
}

func (m *Machine) giveSlot() []Effect {
	m.loading = time.Time{}
	if !m.slot {
		return nil
	}
	m.slot = false
	return []Effect{ReleaseLoadSlot{}}
}
