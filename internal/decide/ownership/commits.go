package ownership

import "time"

// nextCommit returns the transaction that is due, or nil. Only one is pending at a time.
func (m *Machine) nextCommit(now time.Time) []Effect {
	if m.commit != nil || now.Before(m.retryCommitAt) || !m.lease.rowCurrent {
		return nil
	}
	if m.leaving {
		return m.endLease(now)
	}
	if !m.lease.held || !now.Before(m.renewAt) {
		return m.renewLease(now)
	}
	if !m.leaseValid(now) || !m.ownerRowsCurrent {
		return nil
	}
	if effects := m.acquire(now); effects != nil {
		return effects
	}
	return m.release(now)
}

// renewLease writes this host's lease, under a new epoch if it holds none.
func (m *Machine) renewLease(now time.Time) []Effect {
	if !m.lease.held {
		m.lease.startEpoch()
	}
	lease := m.lease.nextWrite(m.self, m.session, now)
	m.commit = &pendingCommit{purpose: purposeRenew, lease: lease}
	return m.sendCommit(CommitRows{LeaseConditions: m.ownLeaseCondition(), Leases: []Lease{lease}}, now)
}

// endLease marks this host's lease as ended, which voids every owner row written under it.
func (m *Machine) endLease(now time.Time) []Effect {
	if !m.lease.held {
		return nil
	}
	lease := m.lease.nextWrite(m.self, m.session, now)
	lease.Ended = true
	m.commit = &pendingCommit{purpose: purposeEnd}
	return m.sendCommit(CommitRows{LeaseConditions: m.ownLeaseCondition(), Leases: []Lease{lease}}, now)
}

func (m *Machine) ownLeaseCondition() []LeaseCondition {
	return []LeaseCondition{{Host: m.self, Version: m.lease.row.Version}}
}

// sendCommit completes the pending transaction and returns it as an effect.
func (m *Machine) sendCommit(rows CommitRows, now time.Time) []Effect {
	rows.ID = m.newID()
	m.commit.id = rows.ID
	m.commit.sentAt = now
	m.commit.owners = rows.Owners
	return []Effect{rows}
}

// HandleCommit handles the response to a transaction.
func (m *Machine) HandleCommit(response CommitResponse, now time.Time) []Effect {
	if m.commit == nil || m.commit.id != response.ID {
		return m.advance(now)
	}
	commit := *m.commit
	effects := m.finishCommit(response.Outcome, now)
	if commit.purpose == purposeRenew && response.Outcome == Committed && response.LeaseVersion != 0 {
		m.lease.row = LeaseRow{Lease: commit.lease, Version: response.LeaseVersion}
		m.lease.rowCurrent = true
	}
	return append(effects, m.advance(now)...)
}

// finishCommit applies the outcome of the pending transaction and clears it.
func (m *Machine) finishCommit(outcome Outcome, now time.Time) []Effect {
	commit := *m.commit
	m.commit = nil
	m.recordPlatformOutcome(outcome, now)
	switch commit.purpose {
	case purposeRenew:
		m.finishRenewal(commit, outcome, now)
	case purposeEnd:
		m.finishEnd(outcome, now)
	case purposeAcquire:
		return m.finishAcquisition(commit, outcome, now)
	case purposeRelease:
		m.recordOwnerRows(commit, outcome, now)
	}
	return nil
}

func (m *Machine) recordPlatformOutcome(outcome Outcome, now time.Time) {
	if outcome == Committed || outcome == Conflict {
		m.recordPlatformReached()
		return
	}
	m.platformUnavailable = true
	m.retryCommitAt = now.Add(m.timing.RetryDelay)
}

// finishRenewal extends the lease, counted from the time the write was sent. Unless the
// write certainly did not take effect, the row is read again before the next write.
func (m *Machine) finishRenewal(commit pendingCommit, outcome Outcome, now time.Time) {
	if outcome == Unavailable && m.lease.held {
		return
	}
	m.lease.lastWriteAt = now
	m.lease.rowCurrent = false
	if outcome == Committed {
		m.lease.extend(commit.lease.Serial, m.timing.LeaseTTL)
		m.renewAt = commit.sentAt.Add(m.timing.RenewInterval)
	}
}

func (m *Machine) finishEnd(outcome Outcome, now time.Time) {
	if outcome == Committed {
		m.lease.abandonEpoch()
		return
	}
	m.lease.lastWriteAt = now
	m.lease.rowCurrent = false
}

// finishAcquisition starts to own the acquired targets if the lease under which they were
// acquired is still valid. After an ambiguous outcome nothing is owned: if a later read
// shows that the rows name this host, they are acquired again.
func (m *Machine) finishAcquisition(commit pendingCommit, outcome Outcome, now time.Time) []Effect {
	m.recordOwnerRows(commit, outcome, now)
	if outcome != Committed || m.leaving || !m.leaseValid(now) {
		return nil
	}
	var effects []Effect
	for _, owner := range commit.owners {
		if owner.Session != m.session || owner.Epoch != m.lease.epoch || !m.targets[owner.Target] {
			continue
		}
		m.owned[owner.Target] = owner.Fence
		effects = append(effects, Acquired{Target: owner.Target, Fence: owner.Fence})
	}
	return effects
}

// recordOwnerRows updates the cached owner rows after a transaction that wrote some.
func (m *Machine) recordOwnerRows(commit pendingCommit, outcome Outcome, now time.Time) {
	m.ownerRowsWrittenAt = now
	if outcome == Conflict {
		m.lease.lastWriteAt = now
		m.lease.rowCurrent = false
	}
	if outcome != Committed || commit.endsOtherLease || commit.purpose == purposeRelease {
		m.ownerRowsCurrent = false
	}
	if outcome != Committed {
		return
	}
	for _, owner := range commit.owners {
		m.ownerRows[owner.Target] = OwnerRow{Owner: owner}
	}
}
