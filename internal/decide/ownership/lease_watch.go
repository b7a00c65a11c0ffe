package ownership

import "time"

// watch is what this host has seen of another host's lease row.
type watch struct {
	row     LeaseRow
	since   time.Time // when the version was first seen
	watched time.Time // since when it was seen unchanged without a gap between reads
	last    time.Time // latest read

	interrupted bool // a read failed since
}

// see takes in a read of the row. A gap between reads restarts the time watched.
func (w *watch) see(row LeaseRow, now time.Time, timing Timing) {
	changed := row.Version != w.row.Version || w.last.IsZero()
	if changed || w.interrupted || now.Sub(w.last) > timing.watchGap() {
		w.watched = now
	}
	w.interrupted = false
	if changed || now.Sub(w.last) > 2*timing.IdleReadInterval {
		w.since = now
	}
	w.row = row
	w.last = now
}

// waitedOut reports whether the lease may be broken: its holder has had the whole time
// of the lease, and a margin, after the version became visible here.
func (w *watch) waitedOut(timing Timing) bool {
	return w.last.Sub(w.watched) >= timing.waitOut()
}

// stale reports whether the holder seems unable to renew. It only guides the choice of
// the preferred owner.
func (w *watch) stale(timing Timing) bool {
	return w.row.Version == 0 || w.row.Ended || w.last.Sub(w.since) >= timing.waitOut()
}
