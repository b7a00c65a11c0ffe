package ownership

// commitPurpose is the reason for a transaction.
type commitPurpose uint8

const (
	purposeRenew   commitPurpose = iota + 1 // also the first write of an epoch
	purposeEnd                              // end this host's lease
	purposeAcquire                          // acquire targets
	purposeRelease                          // release targets
)
