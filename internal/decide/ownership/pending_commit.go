package ownership

import "time"

// openCommit is the transaction that awaits its answer. There is at most one.
type openCommit struct {
	id      uint64
	purpose purpose
	sentAt  time.Time
	lease   Lease   // written by renewLease
	owners  []Owner // rows written
	breaks  bool    // another host's lease is written too
}
