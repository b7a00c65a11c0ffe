package ownership

import "siskintide.example/siskintide/internal/core"

// table is a fake of the platform's table.
type table struct {
	version uint64
	leases  map[core.HostID]LeaseRow
	owners  map[core.TargetID]OwnerRow
}

func newTable() *table {
	return &table{leases: map[core.HostID]LeaseRow{}, owners: map[core.TargetID]OwnerRow{}}
}

func (t *table) commit(rows CommitRows) Outcome {
	for _, c := range rows.LeaseConditions {
		if t.leases[c.Host].Version != c.Version {
			return Conflict
		}
	}
	for _, c := range rows.OwnerConditions {
		if t.owners[c.Target].Version != c.Version {
			return Conflict
		}
	}
	t.version++
	for _, lease := range rows.Leases {
		t.leases[lease.Host] = LeaseRow{Lease: lease, Version: t.version}
	}
	for _, owner := range rows.Owners {
		t.owners[owner.Target] = OwnerRow{Owner: owner, Version: t.version}
	}
	return Committed
}

// readOwners and readLeases are separate because a full read is not atomic.
func (t *table) readOwners(response *ReadResponse) {
	for _, row := range t.owners {
		response.Owners = append(response.Owners, row)
	}
}

func (t *table) readLeases(response *ReadResponse) {
	for _, row := range t.leases {
		response.Leases = append(response.Leases, row)
	}
}
