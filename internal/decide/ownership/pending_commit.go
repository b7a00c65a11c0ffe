package ownership

import "time"

// pendingCommit is the transaction that awaits its response. There is at most one.
type pendingCommit struct {
	id             uint64
	purpose        commitPurpose
	sentAt         time.Time
	lease          Lease   // written by purposeRenew
	owners         []Owner // owner rows written
	endsOtherLease bool    // another host's lease row is written too
}
