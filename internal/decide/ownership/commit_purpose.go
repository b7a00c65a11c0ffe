package ownership

// purpose is the reason for a transaction.
type purpose uint8

const (
	renewLease purpose = iota + 1 // also the first write of an epoch
	endLease
	takeTargets
	releaseTargets
)
