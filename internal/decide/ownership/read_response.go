package ownership

// ReadResponse answers ReadRows. The rows are meaningful only if OK is set.
type ReadResponse struct {
	ID     uint64
	OK     bool
	Leases []LeaseRow
	Owners []OwnerRow
}
