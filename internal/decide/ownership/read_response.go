package ownership

// ReadResponse is the response to ReadRows. The rows are valid only if OK is set.
type ReadResponse struct {
	ID     uint64
	OK     bool
	Leases []LeaseRow
	Owners []OwnerRow
}
