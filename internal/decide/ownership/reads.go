package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// nextReads returns the reads that are due.
func (m *Machine) nextReads(now time.Time) []Effect {
	var effects []Effect
	if m.wantsOwnLease() && m.readOwn.id == 0 && !now.Before(m.readOwnAt) {
		m.readOwn = openRead{id: m.newID(), sentAt: now}
		effects = append(effects, ReadRows{ID: m.readOwn.id, Scope: ReadOwnLease})
	}
	if m.readAll.id == 0 && !m.leaving && !m.writesOwners() && !now.Before(m.nextReadAll()) {
		m.readAll = openRead{id: m.newID(), sentAt: now}
		m.readAllAt = now
		effects = append(effects, ReadRows{ID: m.readAll.id, Scope: ReadAll})
	}
	return effects
}

// writesOwners reports whether a transaction on owner rows is open; a read at the same
// time would be out of date.
func (m *Machine) writesOwners() bool {
	return m.commit != nil && m.commit.purpose >= takeTargets
}

// wantsOwnLease reports whether the version of the own lease row has to be read. A host
// that leaves without a lease needs none.
func (m *Machine) wantsOwnLease() bool {
	return !m.lease.known && m.commit == nil && (m.lease.held || !m.leaving)
}

// nextReadAll returns when the next full read is due.
func (m *Machine) nextReadAll() time.Time {
	switch {
	case m.readAllAt.IsZero():
		return m.readAllAt
	case m.platformAway:
		return m.readAllAt.Add(m.timing.RetryDelay)
	case !m.fresh:
		return m.readAllAt.Add(m.timing.RetryDelay)
	case m.wantsTargets():
		return m.readAllAt.Add(m.timing.PendingReadInterval)
	default:
		return m.readAllAt.Add(m.timing.IdleReadInterval)
	}
}

// HandleRows takes in the answer to a read.
func (m *Machine) HandleRows(answer ReadResponse, now time.Time) []Effect {
	var effects []Effect
	switch answer.ID {
	case 0:
	case m.readOwn.id:
		effects = m.handleOwnLease(answer, now)
	case m.readAll.id:
		effects = m.handleAll(answer, now)
	}
	return append(effects, m.step(now)...)
}

func (m *Machine) handleOwnLease(answer ReadResponse, now time.Time) []Effect {
	sentAt := m.readOwn.sentAt
	m.readOwn = openRead{}
	m.readOwnAt = now.Add(m.timing.RetryDelay)
	if !answer.OK {
		m.platformAway = true
		return nil
	}
	m.platformAnswered()
	if sentAt.Before(m.lease.changedAt) || m.commit != nil {
		m.readOwnAt = now
		return nil
	}
	row := LeaseRow{Lease: Lease{Host: m.self}}
	for _, read := range answer.Leases {
		if read.Host == m.self {
			row = read
		}
	}
	return m.adoptOwnLease(row, now)
}

// adoptOwnLease settles what the latest writes of the own lease have come to.
func (m *Machine) adoptOwnLease(row LeaseRow, now time.Time) []Effect {
	m.watch(row, now)
	m.lease.row = row
	mine := row.Session == m.session && row.Epoch == m.lease.epoch && row.Version != 0
	if mine && !row.Ended {
		m.lease.tookEffect(row.Serial, m.timing.LeaseTTL)
		m.lease.known = true
		return nil
	}
	var effects []Effect
	if m.lease.held {
		effects = m.loseAll()
		m.lease.abandon()
	}
	m.lease.known = m.mayOverwrite(row)
	return effects
}

// mayOverwrite reports whether a lease row that is not of the current epoch can be
// replaced by a new epoch: nobody can go on owning under it. A former process of this
// host may still run, so that its lease is waited out as any other.
func (m *Machine) mayOverwrite(row LeaseRow) bool {
	if row.Version == 0 || row.Ended || row.Session == m.session {
		return true
	}
	return m.watches[m.self].waitedOut(m.timing)
}

func (m *Machine) handleAll(answer ReadResponse, now time.Time) []Effect {
	sentAt := m.readAll.sentAt
	m.readAll = openRead{}
	if !answer.OK {
		m.platformAway = true
		m.restartWatches()
		return nil
	}
	m.platformAnswered()
	m.watchAll(answer.Leases, now)
	if sentAt.Before(m.settled) || m.writesOwners() {
		return nil
	}
	m.owners = make(map[core.TargetID]OwnerRow, len(answer.Owners))
	for _, row := range answer.Owners {
		m.owners[row.Target] = row
	}
	m.fresh = true
	return m.dropSuperseded()
}

// dropSuperseded drops the owned targets that another host has taken. That happens only
// after this host has owned them without a valid lease.
func (m *Machine) dropSuperseded() []Effect {
	var effects []Effect
	for _, target := range m.ownedTargets() {
		row := m.owners[target]
		if row.Fence > m.owned[target] && !m.holds(row.Owner) {
			effects = append(effects, m.lose(target))
		}
	}
	return effects
}

// watchAll takes in all lease rows; a host without a row has version 0.
func (m *Machine) watchAll(rows []LeaseRow, now time.Time) {
	read := make(map[core.HostID]bool, len(rows))
	for _, row := range rows {
		read[row.Host] = true
		if row.Host != m.self {
			m.watch(row, now)
		}
	}
	for host := range m.watches {
		if host != m.self && !read[host] {
			delete(m.watches, host)
		}
	}
}

// restartWatches makes the next read the first of a new wait: holders may not have
// reached the platform either.
func (m *Machine) restartWatches() {
	for _, w := range m.watches {
		w.interrupted = true
	}
}

func (m *Machine) watch(row LeaseRow, now time.Time) {
	w := m.watches[row.Host]
	if w == nil {
		w = &watch{}
		m.watches[row.Host] = w
	}
	w.see(row, now, m.timing)
}

// dropLateAnswers stops waiting for answers that have taken too long.
func (m *Machine) dropLateAnswers(now time.Time) {
	late := func(sentAt time.Time) bool { return now.Sub(sentAt) > m.timing.AnswerTimeout }
	if m.readOwn.id != 0 && late(m.readOwn.sentAt) {
		m.readOwn = openRead{}
		m.platformAway = true
	}
	if m.readAll.id != 0 && late(m.readAll.sentAt) {
		m.readAll = openRead{}
		m.platformAway = true
		m.restartWatches()
	}
	if m.commit != nil && late(m.commit.sentAt) {
		m.settle(Ambiguous, now)
	}
}
