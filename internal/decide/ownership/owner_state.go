package ownership

// claim is the state of a target's row as seen by a host that wants to take it.
type claim uint8

const (
	claimHeld claim = iota // another host may own it
	claimFree              // nobody owns it
	// claimVoid: the lease under which the row was written is gone. No condition on the
	// lease row is needed: leases are read after owners, and an epoch that is gone never
	// comes back. A condition would lose against the renewals of the holder's new epoch.
	claimVoid
	claimStale // the lease of the holder has been waited out and must be broken
)
