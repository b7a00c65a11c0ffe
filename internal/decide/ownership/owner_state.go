package ownership

// ownerState classifies the owner row of a target for a host that wants to acquire it.
type ownerState uint8

const (
	ownerHeld ownerState = iota // another host may own the target
	ownerFree                   // no host owns the target
	// ownerVoid means that the lease under which the row was written no longer exists. No
	// condition on the lease row is needed: leases are read after owners, and an epoch that
	// has been replaced never comes back. Such a condition would conflict with the renewals
	// of the holder's new epoch.
	ownerVoid
	ownerExpired // the holder's lease has expired and must be ended by the transaction
)
