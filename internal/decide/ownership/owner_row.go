package ownership

// OwnerRow is an owner row as read. Version 0 means that the row does not exist, or that
// this host wrote it and has not read its version yet.
type OwnerRow struct {
	Owner
	Version uint64
}
