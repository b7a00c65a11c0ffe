package ownership

// ReadRows asks for a read of the table. The caller responds with HandleRows.
type ReadRows struct {
	ID    uint64
	Scope Scope
}

func (ReadRows) ownershipEffect() {}
