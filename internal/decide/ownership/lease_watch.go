package ownership

import "time"

// leaseWatch is the history of a lease row as observed by this host.
type leaseWatch struct {
	row            LeaseRow
	versionSince   time.Time // when the version was first read
	unchangedSince time.Time // start of the time in which it was unchanged, without a gap between reads
	lastRead       time.Time

	interrupted bool // a read has failed since lastRead
}

// observe records a read of the row. A gap between reads restarts unchangedSince.
func (w *leaseWatch) observe(row LeaseRow, now time.Time, timing Timing) {
	changed := row.Version != w.row.Version || w.lastRead.IsZero()
	if changed || w.interrupted || now.Sub(w.lastRead) > timing.maxReadGap() {
		w.unchangedSince = now
	}
	w.interrupted = false
	if changed || now.Sub(w.lastRead) > 2*timing.IdleReadInterval {
		w.versionSince = now
	}
	w.row = row
	w.lastRead = now
}

// expired reports whether another host may end the lease: this host has seen the row
// unchanged for the lease time and a margin, without a gap between reads.
func (w *leaseWatch) expired(timing Timing) bool {
	return w.lastRead.Sub(w.unchangedSince) >= timing.takeoverWait()
}

// lapsed reports whether the holder does not seem to renew the lease. It is used only to
// choose preferred owners and to count the known hosts.
func (w *leaseWatch) lapsed(timing Timing) bool {
	return w.row.Version == 0 || w.row.Ended || w.lastRead.Sub(w.versionSince) >= timing.takeoverWait()
}
