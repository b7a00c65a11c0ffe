package ownership

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// maxBatch bounds the targets of one transaction, so that a conflict costs little.
const maxBatch = 16

// claimOf judges a target that this host does not own.
func (m *Machine) claimOf(target core.TargetID, now time.Time) claim {
	row, ok := m.owners[target]
	if !ok || row.Holder == "" || m.holds(row.Owner) {
		return claimFree
	}
	if row.Holder == m.self {
		return claimVoid
	}
	w := m.watches[row.Holder]
	if w == nil || w.row.Ended || !w.row.sameEpoch(row.Owner) {
		return claimVoid
	}
	if w.waitedOut(m.timing) && !m.holderDegraded(row.Holder, now) {
		return claimStale
	}
	return claimHeld
}

// holds reports whether an owner row names this host under its current lease.
func (m *Machine) holds(owner Owner) bool {
	return m.lease.held && owner.Holder == m.self && owner.Session == m.session && owner.Epoch == m.lease.epoch
}

// holderDegraded reports whether a host is known to go on owning without its lease.
func (m *Machine) holderDegraded(host core.HostID, now time.Time) bool {
	report, ok := m.reports[host]
	return ok && report.Degraded && m.isFresh(report, now)
}

// wants reports whether this host should own a target and does not.
func (m *Machine) wants(target core.TargetID) bool {
	_, owned := m.owned[target]
	return !owned && m.choice[target] == m.self
}

func (m *Machine) wantsTargets() bool {
	for _, target := range m.order {
		if m.wants(target) {
			return true
		}
	}
	return false
}

// take returns a transaction that takes targets, or nil. One transaction breaks at most
// one lease.
func (m *Machine) take(now time.Time) []Effect {
	rows := CommitRows{LeaseConditions: m.ownLeaseCondition()}
	var broken core.HostID
	for _, target := range m.order {
		if len(rows.Owners) == maxBatch {
			break
		}
		if !m.wants(target) {
			continue
		}
		kind := m.claimOf(target, now)
		holder := m.owners[target].Holder
		if kind == claimHeld || (kind == claimStale && broken != "" && broken != holder) {
			continue
		}
		if kind == claimStale && broken == "" {
			broken = holder
			rows.Leases = append(rows.Leases, m.brokenLease(holder))
		}
		m.addTake(&rows, target, kind)
	}
	if len(rows.Owners) == 0 {
		return nil
	}
	m.commit = &openCommit{purpose: takeTargets, breaks: broken != ""}
	return m.send(rows, now)
}

// brokenLease returns what ends another host's lease. Its holder's next renewal then
// conflicts, also one that is already on its way.
func (m *Machine) brokenLease(holder core.HostID) Lease {
	lease := m.watches[holder].row.Lease
	lease.Ended = true
	return lease
}

// addTake adds one target to a transaction.
func (m *Machine) addTake(rows *CommitRows, target core.TargetID, kind claim) {
	row := m.owners[target]
	rows.OwnerConditions = append(rows.OwnerConditions, OwnerCondition{Target: target, Version: row.Version})
	rows.Owners = append(rows.Owners, Owner{
		Target: target, Holder: m.self, Session: m.session, Epoch: m.lease.epoch, Fence: row.Fence + 1,
	})
	if kind == claimStale {
		requireLease(rows, m.watches[row.Holder].row)
	}
}

// requireLease makes a transaction conditional on a lease row as it was read.
func requireLease(rows *CommitRows, lease LeaseRow) {
	condition := LeaseCondition{Host: lease.Host, Version: lease.Version}
	if !slices.Contains(rows.LeaseConditions, condition) {
		rows.LeaseConditions = append(rows.LeaseConditions, condition)
	}
}
