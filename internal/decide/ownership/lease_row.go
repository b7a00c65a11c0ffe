package ownership

// LeaseRow is a lease row as read. Version 0 means that the row does not exist.
type LeaseRow struct {
	Lease
	Version uint64
}
