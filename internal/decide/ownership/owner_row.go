package ownership

// OwnerRow is an owner as it was read. Version 0 means that the row does not exist.
type OwnerRow struct {
	Owner
	Version uint64
}
