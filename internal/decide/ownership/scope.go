package ownership

// Scope defines which rows a read covers.
type Scope uint8

const (
	// ReadAll reads all owner rows of the data centre and, after them, all lease rows.
	ReadAll Scope = iota + 1
	// ReadOwnLease reads only the lease row of this host.
	ReadOwnLease
)
