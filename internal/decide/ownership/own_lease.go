package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// ownLease is this host's own lease.
type ownLease struct {
	epoch      uint64
	serial     uint64               // of the latest write that was sent
	sent       map[uint64]time.Time // when the writes of this epoch were sent, by serial
	held       bool
	validUntil time.Time // sending time of the latest write known to have taken effect, plus the lease time
	row        LeaseRow  // latest read
	known      bool      // row can be the condition of the next write
	changedAt  time.Time // when a write was last answered; earlier reads are out of date
}

// next returns the content of the next write and notes when it is sent.
func (l *ownLease) next(host core.HostID, session core.SessionID, now time.Time) Lease {
	l.serial++
	l.sent[l.serial] = now
	return Lease{Host: host, Session: session, Epoch: l.epoch, Serial: l.serial}
}

// begin opens a new epoch, above every earlier one.
func (l *ownLease) begin() {
	l.epoch = max(l.epoch, l.row.Epoch) + 1
	l.serial = 0
	l.sent = map[uint64]time.Time{}
}

// tookEffect extends the lease by a write that is known to have taken effect.
func (l *ownLease) tookEffect(serial uint64, ttl time.Duration) {
	sentAt, ok := l.sent[serial]
	if !ok {
		return
	}
	if until := sentAt.Add(ttl); until.After(l.validUntil) {
		l.validUntil = until
	}
	l.held = true
	for s := range l.sent {
		if s < serial {
			delete(l.sent, s)
		}
	}
}

// abandon gives up the epoch; writes of it that are still on their way count for nothing.
func (l *ownLease) abandon() {
	l.held = false
	l.known = false
	l.validUntil = time.Time{}
	l.begin()
}
