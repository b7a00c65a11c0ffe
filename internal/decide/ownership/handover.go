package ownership

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// choose brings the preferred owners up to date.
func (m *Machine) choose(now time.Time) {
	candidates := m.candidates(now)
	if m.chosen == nil || !slices.Equal(candidates, m.chosen) {
		m.chosen = candidates
		m.choice = assign(m.order, candidates)
	}
	m.noteAside(now)
}

// candidates returns the live hosts that can own targets, sorted: those that renew their
// leases, and new ones that may not have one yet.
func (m *Machine) candidates(now time.Time) []core.HostID {
	candidates := make([]core.HostID, 0, len(m.live))
	for host, since := range m.live {
		isNew := now.Sub(since) < m.timing.NewHostGrace
		if isNew || m.renews(host) {
			candidates = append(candidates, host)
		}
	}
	slices.Sort(candidates)
	return candidates
}

// renews reports whether a host was seen to hold a lease and keep it.
func (m *Machine) renews(host core.HostID) bool {
	if host == m.self {
		return m.lease.held
	}
	w := m.watches[host]
	return w != nil && !w.stale(m.timing)
}

// noteAside keeps account of the owned targets that another host should own.
func (m *Machine) noteAside(now time.Time) {
	for target := range m.owned {
		preferred := m.choice[target]
		if preferred == "" || preferred == m.self || !m.renews(preferred) {
			delete(m.aside, target)
			continue
		}
		if _, ok := m.aside[target]; !ok {
			m.aside[target] = now
		}
	}
}

// release returns a transaction that frees targets for their preferred owners, or nil.
// A target is given up before the transaction is sent. Rows that name this host although
// it does not own the target are freed too.
func (m *Machine) release(now time.Time) []Effect {
	rows := CommitRows{LeaseConditions: m.ownLeaseCondition()}
	var effects []Effect
	for _, target := range sortedOwners(m.owners) {
		if len(rows.Owners) == maxBatch {
			break
		}
		row := m.owners[target]
		if !m.holds(row.Owner) || !m.mayRelease(row, now) {
			continue
		}
		if _, owned := m.owned[target]; owned {
			effects = append(effects, m.lose(target))
		}
		rows.OwnerConditions = append(rows.OwnerConditions, OwnerCondition{Target: target, Version: row.Version})
		rows.Owners = append(rows.Owners, Owner{Target: target, Fence: row.Fence})
	}
	if len(rows.Owners) == 0 {
		return nil
	}
	m.commit = &openCommit{purpose: releaseTargets}
	return append(effects, m.send(rows, now)...)
}

// mayRelease reports whether a row that names this host is to be freed.
func (m *Machine) mayRelease(row OwnerRow, now time.Time) bool {
	if row.Version == 0 {
		return false
	}
	if _, owned := m.owned[row.Target]; !owned {
		return !m.wants(row.Target)
	}
	since, aside := m.aside[row.Target]
	return aside && now.Sub(since) >= m.timing.HandoverDelay
}

func sortedOwners(owners map[core.TargetID]OwnerRow) []core.TargetID {
	targets := make([]core.TargetID, 0, len(owners))
	for target := range owners {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}
