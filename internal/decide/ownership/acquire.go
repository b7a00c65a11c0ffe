package ownership

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// maxTargetsPerCommit bounds the targets of one transaction, so that a conflict affects
// only a few.
const maxTargetsPerCommit = 16

// ownerStateOf classifies the owner row of a target that this host does not own.
func (m *Machine) ownerStateOf(target core.TargetID, now time.Time) ownerState {
	row, ok := m.ownerRows[target]
	if !ok || row.Holder == "" || m.isOwnRow(row.Owner) {
		return ownerFree
	}
	if row.Holder == m.self {
		return ownerVoid
	}
	w := m.leaseWatches[row.Holder]
	if w == nil || w.row.Ended || !w.row.sameEpoch(row.Owner) {
		return ownerVoid
	}
	if w.expired(m.timing) && !m.holderDegraded(row.Holder, now) {
		return ownerExpired
	}
	return ownerHeld
}

// isOwnRow reports whether an owner row names this host under its current lease.
func (m *Machine) isOwnRow(owner Owner) bool {
	return m.lease.held && owner.Holder == m.self && owner.Session == m.session && owner.Epoch == m.lease.epoch
}

// holderDegraded reports whether a host has reported lately that it owns targets without
// a valid lease.
func (m *Machine) holderDegraded(host core.HostID, now time.Time) bool {
	report, ok := m.peerReports[host]
	return ok && report.Degraded && m.isRecent(report, now)
}

// shouldAcquire reports whether this host is the preferred owner of a target that it does
// not own.
func (m *Machine) shouldAcquire(target core.TargetID) bool {
	_, owned := m.owned[target]
	return !owned && m.assignment[target] == m.self
}

func (m *Machine) shouldAcquireAny() bool {
	for _, target := range m.sortedTargets {
		if m.shouldAcquire(target) {
			return true
		}
	}
	return false
}

// acquire returns a transaction that acquires targets, or nil. One transaction ends the
// lease of at most one other host.
func (m *Machine) acquire(now time.Time) []Effect {
	rows := CommitRows{LeaseConditions: m.ownLeaseCondition()}
	var ended core.HostID
	for _, target := range m.sortedTargets {
		if len(rows.Owners) == maxTargetsPerCommit {
			break
		}
		if !m.shouldAcquire(target) {
			continue
		}
		state := m.ownerStateOf(target, now)
		holder := m.ownerRows[target].Holder
		if state == ownerHeld || (state == ownerExpired && ended != "" && ended != holder) {
			continue
		}
		if state == ownerExpired && ended == "" {
			ended = holder
			rows.Leases = append(rows.Leases, m.endedLease(holder))
		}
		m.addAcquisition(&rows, target, state)
	}
	if len(rows.Owners) == 0 {
		return nil
	}
	m.commit = &pendingCommit{purpose: purposeAcquire, endsOtherLease: ended != ""}
	return m.sendCommit(rows, now)
}

// endedLease returns another host's lease, marked as ended. Writing it makes the holder's
// next renewal conflict, even one that is already in flight.
func (m *Machine) endedLease(holder core.HostID) Lease {
	lease := m.leaseWatches[holder].row.Lease
	lease.Ended = true
	return lease
}

// addAcquisition adds one target to a transaction.
func (m *Machine) addAcquisition(rows *CommitRows, target core.TargetID, state ownerState) {
	row := m.ownerRows[target]
	rows.OwnerConditions = append(rows.OwnerConditions, OwnerCondition{Target: target, Version: row.Version})
	rows.Owners = append(rows.Owners, Owner{
		Target: target, Holder: m.self, Session: m.session, Epoch: m.lease.epoch, Fence: row.Fence + 1,
	})
	if state == ownerExpired {
		requireLease(rows, m.leaseWatches[row.Holder].row)
	}
}

// requireLease makes a transaction conditional on a lease row as it was read.
func requireLease(rows *CommitRows, lease LeaseRow) {
	condition := LeaseCondition{Host: lease.Host, Version: lease.Version}
	if !slices.Contains(rows.LeaseConditions, condition) {
		rows.LeaseConditions = append(rows.LeaseConditions, condition)
	}
}
