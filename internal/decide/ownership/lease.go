package ownership

import "siskintide.example/siskintide/internal/core"

// Lease is the content of a host's lease row. The owner rows that a host wrote are valid
// only as long as its lease. An epoch that has ended, or has been replaced by another one,
// never comes back.
type Lease struct {
	Host    core.HostID
	Session core.SessionID
	Epoch   uint64 // grows each time the host starts to hold a lease again
	Serial  uint64 // grows with each write within an epoch
	Ended   bool   // ended by its holder, or by another host after it had expired
}

// sameEpoch reports whether an owner row was written under this lease.
func (l Lease) sameEpoch(o Owner) bool {
	return l.Host == o.Holder && l.Session == o.Session && l.Epoch == o.Epoch
}
