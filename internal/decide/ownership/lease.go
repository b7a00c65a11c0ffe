package ownership

import "siskintide.example/siskintide/internal/core"

// Lease is the content of the row by which a host keeps everything that it owns. An
// epoch that was ended, or overwritten by another one, never comes back.
type Lease struct {
	Host    core.HostID
	Session core.SessionID
	Epoch   uint64 // grows each time the host starts anew to hold a lease
	Serial  uint64 // grows with each write within an epoch
	Ended   bool   // released by its holder, or broken by a host that waited it out
}

// sameEpoch reports whether an owner row was written under this lease.
func (l Lease) sameEpoch(o Owner) bool {
	return l.Host == o.Holder && l.Session == o.Session && l.Epoch == o.Epoch
}
