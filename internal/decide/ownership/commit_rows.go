package ownership

// CommitRows asks for one transaction: all writes if all conditions hold, and none
// otherwise. The caller responds with HandleCommit.
type CommitRows struct {
	ID              uint64
	LeaseConditions []LeaseCondition
	OwnerConditions []OwnerCondition
	Leases          []Lease
	Owners          []Owner
}

func (CommitRows) ownershipEffect() {}
