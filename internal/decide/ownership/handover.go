package ownership

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// updateAssignment recomputes the preferred owners if the eligible hosts have changed.
func (m *Machine) updateAssignment(now time.Time) {
	hosts := m.eligibleHosts(now)
	if m.assignmentHosts == nil || !slices.Equal(hosts, m.assignmentHosts) {
		m.assignmentHosts = hosts
		m.assignment = assign(m.sortedTargets, hosts)
	}
	m.trackMisplaced(now)
}

// eligibleHosts returns the live hosts that can own targets, sorted: those that renew
// their leases, and new ones that may not have one yet.
func (m *Machine) eligibleHosts(now time.Time) []core.HostID {
	hosts := make([]core.HostID, 0, len(m.liveSince))
	for host, since := range m.liveSince {
		isNew := now.Sub(since) < m.timing.NewHostGrace
		if isNew || m.renewsLease(host) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// renewsLease reports whether a host has a lease and was seen to renew it.
func (m *Machine) renewsLease(host core.HostID) bool {
	if host == m.self {
		return m.lease.held
	}
	w := m.leaseWatches[host]
	return w != nil && !w.lapsed(m.timing)
}

// trackMisplaced records since when each owned target has had another preferred owner.
func (m *Machine) trackMisplaced(now time.Time) {
	for target := range m.owned {
		preferred := m.assignment[target]
		if preferred == "" || preferred == m.self || !m.renewsLease(preferred) {
			delete(m.misplacedSince, target)
			continue
		}
		if _, ok := m.misplacedSince[target]; !ok {
			m.misplacedSince[target] = now
		}
	}
}

// release returns a transaction that frees targets for their preferred owners, or nil.
// This host stops owning a target before the transaction is sent. Rows that name this host
// although it does not own the target are freed too.
func (m *Machine) release(now time.Time) []Effect {
	rows := CommitRows{LeaseConditions: m.ownLeaseCondition()}
	var effects []Effect
	for _, target := range sortedKeys(m.ownerRows) {
		if len(rows.Owners) == maxTargetsPerCommit {
			break
		}
		row := m.ownerRows[target]
		if !m.isOwnRow(row.Owner) || !m.shouldRelease(row, now) {
			continue
		}
		if _, owned := m.owned[target]; owned {
			effects = append(effects, m.dropTarget(target))
		}
		rows.OwnerConditions = append(rows.OwnerConditions, OwnerCondition{Target: target, Version: row.Version})
		rows.Owners = append(rows.Owners, Owner{Target: target, Fence: row.Fence})
	}
	if len(rows.Owners) == 0 {
		return nil
	}
	m.commit = &pendingCommit{purpose: purposeRelease}
	return append(effects, m.sendCommit(rows, now)...)
}

// shouldRelease reports whether a row that names this host is to be freed.
func (m *Machine) shouldRelease(row OwnerRow, now time.Time) bool {
	if row.Version == 0 {
		return false
	}
	if _, owned := m.owned[row.Target]; !owned {
		return !m.shouldAcquire(row.Target)
	}
	since, misplaced := m.misplacedSince[row.Target]
	return misplaced && now.Sub(since) >= m.timing.HandoverDelay
}

func sortedKeys(rows map[core.TargetID]OwnerRow) []core.TargetID {
	targets := make([]core.TargetID, 0, len(rows))
	for target := range rows {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}
