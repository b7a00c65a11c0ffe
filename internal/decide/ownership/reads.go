package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// nextReads returns the reads that are due.
func (m *Machine) nextReads(now time.Time) []Effect {
	var effects []Effect
	if m.needsOwnLeaseRow() && m.ownLeaseRead.id == 0 && !now.Before(m.nextOwnLeaseReadAt) {
		m.ownLeaseRead = pendingRead{id: m.newID(), sentAt: now}
		effects = append(effects, ReadRows{ID: m.ownLeaseRead.id, Scope: ReadOwnLease})
	}
	if m.fullRead.id == 0 && !m.leaving && !m.writesOwnerRows() && !now.Before(m.nextFullReadAt()) {
		m.fullRead = pendingRead{id: m.newID(), sentAt: now}
		m.lastFullReadAt = now
		effects = append(effects, ReadRows{ID: m.fullRead.id, Scope: ReadAll})
	}
	return effects
}

// writesOwnerRows reports whether a transaction on owner rows is pending. A read at the
// same time could miss its writes.
func (m *Machine) writesOwnerRows() bool {
	return m.commit != nil && m.commit.purpose >= purposeAcquire
}

// needsOwnLeaseRow reports whether the version of this host's lease row has to be read. A
// host that leaves and holds no lease does not need it.
func (m *Machine) needsOwnLeaseRow() bool {
	return !m.lease.rowCurrent && m.commit == nil && (m.lease.held || !m.leaving)
}

// nextFullReadAt returns when the next full read is due.
func (m *Machine) nextFullReadAt() time.Time {
	switch {
	case m.lastFullReadAt.IsZero():
		return m.lastFullReadAt
	case m.platformUnavailable:
		return m.lastFullReadAt.Add(m.timing.RetryDelay)
	case !m.ownerRowsCurrent:
		return m.lastFullReadAt.Add(m.timing.RetryDelay)
	case m.shouldAcquireAny():
		return m.lastFullReadAt.Add(m.timing.PendingReadInterval)
	default:
		return m.lastFullReadAt.Add(m.timing.IdleReadInterval)
	}
}

// HandleRows handles the response to a read.
func (m *Machine) HandleRows(response ReadResponse, now time.Time) []Effect {
	var effects []Effect
	switch response.ID {
	case 0:
	case m.ownLeaseRead.id:
		effects = m.handleOwnLeaseRead(response, now)
	case m.fullRead.id:
		effects = m.handleFullRead(response, now)
	}
	return append(effects, m.advance(now)...)
}

func (m *Machine) handleOwnLeaseRead(response ReadResponse, now time.Time) []Effect {
	sentAt := m.ownLeaseRead.sentAt
	m.ownLeaseRead = pendingRead{}
	m.nextOwnLeaseReadAt = now.Add(m.timing.RetryDelay)
	if !response.OK {
		m.platformUnavailable = true
		return nil
	}
	m.recordPlatformReached()
	if sentAt.Before(m.lease.lastWriteAt) || m.commit != nil {
		m.nextOwnLeaseReadAt = now
		return nil
	}
	row := LeaseRow{Lease: Lease{Host: m.self}}
	for _, read := range response.Leases {
		if read.Host == m.self {
			row = read
		}
	}
	return m.reconcileOwnLease(row, now)
}

// reconcileOwnLease determines from the row which of the latest writes of this host's
// lease took effect, and drops all targets if the lease was lost.
func (m *Machine) reconcileOwnLease(row LeaseRow, now time.Time) []Effect {
	m.observeLease(row, now)
	m.lease.row = row
	sameEpoch := row.Session == m.session && row.Epoch == m.lease.epoch && row.Version != 0
	if sameEpoch && !row.Ended {
		m.lease.extend(row.Serial, m.timing.LeaseTTL)
		m.lease.rowCurrent = true
		return nil
	}
	var effects []Effect
	if m.lease.held {
		effects = m.dropAllTargets()
		m.lease.abandonEpoch()
	}
	m.lease.rowCurrent = m.mayReplaceLease(row)
	return effects
}

// mayReplaceLease reports whether this host's lease row, which is not of the current
// epoch, can be replaced by a new epoch, because no process can still own targets under
// it. A previous process of this host may still run, so that its lease must expire like
// that of another host.
func (m *Machine) mayReplaceLease(row LeaseRow) bool {
	if row.Version == 0 || row.Ended || row.Session == m.session {
		return true
	}
	return m.leaseWatches[m.self].expired(m.timing)
}

func (m *Machine) handleFullRead(response ReadResponse, now time.Time) []Effect {
	sentAt := m.fullRead.sentAt
	m.fullRead = pendingRead{}
	if !response.OK {
		m.platformUnavailable = true
		m.restartWatches()
		return nil
	}
	m.recordPlatformReached()
	m.observeLeases(response.Leases, now)
	if sentAt.Before(m.ownerRowsWrittenAt) || m.writesOwnerRows() {
		return nil
	}
	m.ownerRows = make(map[core.TargetID]OwnerRow, len(response.Owners))
	for _, row := range response.Owners {
		m.ownerRows[row.Target] = row
	}
	m.ownerRowsCurrent = true
	return m.dropSuperseded()
}

// dropSuperseded drops the owned targets that another host has acquired. This happens only
// after this host has owned them without a valid lease.
func (m *Machine) dropSuperseded() []Effect {
	var effects []Effect
	for _, target := range m.ownedTargets() {
		row := m.ownerRows[target]
		if row.Fence > m.owned[target] && !m.isOwnRow(row.Owner) {
			effects = append(effects, m.dropTarget(target))
		}
	}
	return effects
}

// observeLeases records the lease rows of all other hosts, and removes the watches of
// hosts that have no row any more.
func (m *Machine) observeLeases(rows []LeaseRow, now time.Time) {
	read := make(map[core.HostID]bool, len(rows))
	for _, row := range rows {
		read[row.Host] = true
		if row.Host != m.self {
			m.observeLease(row, now)
		}
	}
	for host := range m.leaseWatches {
		if host != m.self && !read[host] {
			delete(m.leaseWatches, host)
		}
	}
}

// restartWatches restarts the wait for leases to expire at the next read, after a read
// failed: their holders may not have reached the platform either.
func (m *Machine) restartWatches() {
	for _, w := range m.leaseWatches {
		w.interrupted = true
	}
}

func (m *Machine) observeLease(row LeaseRow, now time.Time) {
	w := m.leaseWatches[row.Host]
	if w == nil {
		w = &leaseWatch{}
		m.leaseWatches[row.Host] = w
	}
	w.observe(row, now, m.timing)
}

// timeOutPending stops waiting for responses after Timing.ResponseTimeout.
func (m *Machine) timeOutPending(now time.Time) {
	timedOut := func(sentAt time.Time) bool { return now.Sub(sentAt) > m.timing.ResponseTimeout }
	if m.ownLeaseRead.id != 0 && timedOut(m.ownLeaseRead.sentAt) {
		m.ownLeaseRead = pendingRead{}
		m.platformUnavailable = true
	}
	if m.fullRead.id != 0 && timedOut(m.fullRead.sentAt) {
		m.fullRead = pendingRead{}
		m.platformUnavailable = true
		m.restartWatches()
	}
	if m.commit != nil && timedOut(m.commit.sentAt) {
		m.finishCommit(Ambiguous, now)
	}
}
