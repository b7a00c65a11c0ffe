package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// ownLease is the state of this host's own lease.
type ownLease struct {
	epoch       uint64
	serial      uint64               // of the latest write that was sent
	sentAt      map[uint64]time.Time // when the writes of this epoch were sent, by serial
	held        bool
	expiresAt   time.Time // when the latest write known to have taken effect was sent, plus the lease time
	row         LeaseRow  // as last read
	rowCurrent  bool      // row can be the condition of the next write
	lastWriteAt time.Time // when a write was last answered; reads sent earlier are out of date
}

// nextWrite returns the content of the next write and records when it is sent.
func (l *ownLease) nextWrite(host core.HostID, session core.SessionID, now time.Time) Lease {
	l.serial++
	l.sentAt[l.serial] = now
	return Lease{Host: host, Session: session, Epoch: l.epoch, Serial: l.serial}
}

// startEpoch starts a new epoch, higher than every earlier one.
func (l *ownLease) startEpoch() {
	l.epoch = max(l.epoch, l.row.Epoch) + 1
	l.serial = 0
	l.sentAt = map[uint64]time.Time{}
}

// extend extends the lease by a write that is known to have taken effect.
func (l *ownLease) extend(serial uint64, ttl time.Duration) {
	sentAt, ok := l.sentAt[serial]
	if !ok {
		return
	}
	if expiresAt := sentAt.Add(ttl); expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	l.held = true
	for s := range l.sentAt {
		if s < serial {
			delete(l.sentAt, s)
		}
	}
}

// abandonEpoch gives the lease up and starts a new epoch. Writes of the old epoch that are
// still in flight no longer extend the lease.
func (l *ownLease) abandonEpoch() {
	l.held = false
	l.rowCurrent = false
	l.expiresAt = time.Time{}
	l.startEpoch()
}
