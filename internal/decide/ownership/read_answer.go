package ownership

// ReadAnswer answers ReadRows. The rows are meaningful only if OK is set.
type ReadAnswer struct {
	ID     uint64
	OK     bool
	Leases []LeaseRow
	Owners []OwnerRow
}
