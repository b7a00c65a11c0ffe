package orders

import "time"

// load orders the desired version once the data centre's load slot is held. An engine that has room
// for one version, and may still carry out a former owner's load, is first ordered to unload the
// desired version, which it does not hold: with the fence of that order it refuses older ones.
func (m *Machine) load(now time.Time) []Effect {
	if !m.hasSlot {
		return m.requestSlot(now)
	}
	if !m.holdsTwo && len(m.state.Versions) > 0 {
		return m.clear(now)
	}
	if !m.maySendOrder(now) {
		return nil
	}
	if !m.holdsTwo && m.mayObeyFormerOwner() {
		if m.oldStreams > 0 {
			return nil // a late load may be of the desired version; none of its streams is cut off
		}
		return m.sendOrder(Unload, m.desired, now)
	}
	m.loadOrderedAt = now
	return m.sendOrder(Load, m.desired, now)
}

// mayObeyFormerOwner reports whether the engine may still carry out an order of a former owner. An
// engine that checks fences refuses such orders only once it has accepted an order with the fence of
// this ownership; its state is no proof, because an order that is still in flight may change it. For
// engines that ignore fences, the orders of former owners are over before this ownership begins.
func (m *Machine) mayObeyFormerOwner() bool { return m.checksFences && m.state.Fence < m.fence }

func (m *Machine) requestSlot(now time.Time) []Effect {
	if m.slotRequested || now.Before(m.nextSlotRequest) {
		return nil
	}
	m.slotRequested = true
	return []Effect{AcquireLoadSlot{}}
}

// clear makes room in an engine that cannot hold two versions: it stops new work, waits
// until the running streams have ended, and unloads the version that the engine holds.
func (m *Machine) clear(now time.Time) []Effect {
	if !m.workStopped {
		m.workStopped = true
		m.activeVersion = Version{}
		return []Effect{StopNewWork{}}
	}
	if m.oldStreams > 0 || !m.maySendOrder(now) {
		return nil
	}
	return m.sendOrder(Unload, m.state.Versions[0].Version, now)
}

// releaseSlotIfOverdue releases the slot when a load has taken longer than
// Timing.LoadTimeout, so that other targets can load.
func (m *Machine) releaseSlotIfOverdue(now time.Time) []Effect {
	if m.loadOrderedAt.IsZero() || now.Before(m.loadOrderedAt.Add(m.timing.LoadTimeout)) {
		return nil
	}
	return m.releaseSlot()
}

// activate switches new work to the desired version, which is ready, and unloads other
// versions once no stream uses them any more.
func (m *Machine) activate(now time.Time) []Effect {
	effects := m.releaseSlot()
	if m.activeVersion != m.desired {
		m.activeVersion = m.desired
		m.workStopped = false
		return append(effects, SwitchVersion{Version: m.desired})
	}
	if m.oldStreams > 0 || !m.maySendOrder(now) {
		return effects
	}
	for _, loaded := range m.state.Versions {
		if loaded.Version != m.desired {
			return append(effects, m.sendOrder(Unload, loaded.Version, now)...)
		}
	}
	return effects
}

// releaseSlotIfSilent releases the slot when the engine has not answered for
// Timing.LoadTimeout, so that other targets can load. It does so even if this owner holds
// no slot, because a previous owner may have left one to the target.
func (m *Machine) releaseSlotIfSilent(now time.Time) []Effect {
	if now.Before(m.lastResponseAt.Add(m.timing.LoadTimeout)) {
		return nil
	}
	m.lastResponseAt = now
	m.loadOrderedAt = time.Time{}
	m.hasSlot = false
	return []Effect{ReleaseLoadSlot{}}
}

// maySendOrder reports whether the lease outlasts an order that is sent now.
func (m *Machine) maySendOrder(now time.Time) bool { return now.Before(m.sendDeadline()) }

// sendDeadline returns the time until which an order may be sent.
func (m *Machine) sendDeadline() time.Time {
	return m.leaseExpiresAt.Add(-m.timing.OrderTimeout - m.timing.ClockMargin)
}

// sendOrder sends an order. The state must be read again before the next one.
func (m *Machine) sendOrder(kind OrderKind, version Version, now time.Time) []Effect {
	m.invalidateState()
	m.nextReadAt = now.Add(m.timing.BusyReadInterval)
	return []Effect{SendOrder{
		Fence:    m.fence,
		Kind:     kind,
		Version:  version,
		NotAfter: m.sendDeadline(),
		Timeout:  m.timing.OrderTimeout,
	}}
}

func (m *Machine) releaseSlot() []Effect {
	m.loadOrderedAt = time.Time{}
	if !m.hasSlot {
		return nil
	}
	m.hasSlot = false
	return []Effect{ReleaseLoadSlot{}}
}
