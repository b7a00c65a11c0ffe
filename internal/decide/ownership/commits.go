package ownership

import "time"

// nextCommit returns the transaction that is due, if none is open.
func (m *Machine) nextCommit(now time.Time) []Effect {
	if m.commit != nil || now.Before(m.commitAfter) || !m.lease.known {
		return nil
	}
	if m.leaving {
		return m.end(now)
	}
	if !m.lease.held || !now.Before(m.renewAt) {
		return m.renew(now)
	}
	if !m.leaseValid(now) || !m.fresh {
		return nil
	}
	if effects := m.take(now); effects != nil {
		return effects
	}
	return m.release(now)
}

// renew writes the own lease, under a new epoch if none is held.
func (m *Machine) renew(now time.Time) []Effect {
	if !m.lease.held {
		m.lease.begin()
	}
	lease := m.lease.next(m.self, m.session, now)
	m.commit = &openCommit{purpose: renewLease, lease: lease}
	return m.send(CommitRows{LeaseConditions: m.ownLeaseCondition(), Leases: []Lease{lease}}, now)
}

// end marks the own lease as released, which voids every owner row under it.
func (m *Machine) end(now time.Time) []Effect {
	if !m.lease.held {
		return nil
	}
	lease := m.lease.next(m.self, m.session, now)
	lease.Ended = true
	m.commit = &openCommit{purpose: endLease}
	return m.send(CommitRows{LeaseConditions: m.ownLeaseCondition(), Leases: []Lease{lease}}, now)
}

func (m *Machine) ownLeaseCondition() []LeaseCondition {
	return []LeaseCondition{{Host: m.self, Version: m.lease.row.Version}}
}

// send completes the open transaction and returns it as an effect.
func (m *Machine) send(rows CommitRows, now time.Time) []Effect {
	rows.ID = m.newID()
	m.commit.id = rows.ID
	m.commit.sentAt = now
	m.commit.owners = rows.Owners
	return []Effect{rows}
}

// HandleCommit takes in the answer to a transaction.
func (m *Machine) HandleCommit(answer CommitResponse, now time.Time) []Effect {
	if m.commit == nil || m.commit.id != answer.ID {
		return m.step(now)
	}
	open := *m.commit
	effects := m.settle(answer.Outcome, now)
	if open.purpose == renewLease && answer.Outcome == Committed && answer.LeaseVersion != 0 {
		m.lease.row = LeaseRow{Lease: open.lease, Version: answer.LeaseVersion}
		m.lease.known = true
	}
	return append(effects, m.step(now)...)
}

// settle closes the open transaction.
func (m *Machine) settle(outcome Outcome, now time.Time) []Effect {
	open := *m.commit
	m.commit = nil
	m.notePlatform(outcome, now)
	switch open.purpose {
	case renewLease:
		m.settleRenewal(open, outcome, now)
	case endLease:
		m.settleEnd(outcome, now)
	case takeTargets:
		return m.settleTake(open, outcome, now)
	case releaseTargets:
		m.settleOwners(open, outcome, now)
	}
	return nil
}

func (m *Machine) notePlatform(outcome Outcome, now time.Time) {
	if outcome == Committed || outcome == Conflict {
		m.platformAnswered()
		return
	}
	m.platformAway = true
	m.commitAfter = now.Add(m.timing.RetryDelay)
}

// settleRenewal counts the lease from the time the write was sent. Unless the write
// certainly did not take effect, the row is read back before the next write.
func (m *Machine) settleRenewal(open openCommit, outcome Outcome, now time.Time) {
	if outcome == Unavailable && m.lease.held {
		return
	}
	m.lease.changedAt = now
	m.lease.known = false
	if outcome == Committed {
		m.lease.tookEffect(open.lease.Serial, m.timing.LeaseTTL)
		m.renewAt = open.sentAt.Add(m.timing.RenewInterval)
	}
}

func (m *Machine) settleEnd(outcome Outcome, now time.Time) {
	if outcome == Committed {
		m.lease.abandon()
		return
	}
	m.lease.changedAt = now
	m.lease.known = false
}

// settleTake starts to own the targets taken, if the lease under which they were taken
// is still valid. Without a clear answer nothing is owned: if the rows turn out to name
// this host, they are taken once more.
func (m *Machine) settleTake(open openCommit, outcome Outcome, now time.Time) []Effect {
	m.settleOwners(open, outcome, now)
	if outcome != Committed || m.leaving || !m.leaseValid(now) {
		return nil
	}
	var effects []Effect
	for _, owner := range open.owners {
		if owner.Session != m.session || owner.Epoch != m.lease.epoch || !m.targets[owner.Target] {
			continue
		}
		m.owned[owner.Target] = owner.Fence
		effects = append(effects, Acquired{Target: owner.Target, Fence: owner.Fence})
	}
	return effects
}

// settleOwners notes what is now known of the owner rows written.
func (m *Machine) settleOwners(open openCommit, outcome Outcome, now time.Time) {
	m.settled = now
	if outcome == Conflict {
		m.lease.changedAt = now
		m.lease.known = false
	}
	if outcome != Committed || open.breaks || open.purpose == releaseTargets {
		m.fresh = false
	}
	if outcome != Committed {
		return
	}
	for _, owner := range open.owners {
		m.owners[owner.Target] = OwnerRow{Owner: owner}
	}
}
