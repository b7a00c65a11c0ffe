package rollout

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// grantShare is the part of what is left that is granted to a host, relative to its part of the traffic. The
	// rest is kept for hosts with more requests than before.
	grantShare = 0.7
	// lateReport is the age of its last report from which a host counts as away.
	lateReport = 3 * time.Second
)

// ledger accounts for the requests that hosts may send to the new version of a pool.
type ledger struct {
	hosts   map[hostKey]*hostState
	next    uint64                  // number of the next lease
	sum     *evidence               // results of all hosts
	byRoute map[core.RouteID]uint64 // requests of all hosts
}

// newLedger returns an empty ledger. Its lease numbers begin where those of former ledgers did not get.
func newLedger(now time.Duration) *ledger {
	return &ledger{hosts: map[hostKey]*hostState{}, next: uint64(max(now, 0)), sum: newEvidence(), byRoute: map[core.RouteID]uint64{}}
}

// record takes over a host's report.
func (l *ledger) record(host core.HostID, r *core.RolloutReport, now time.Duration) *hostState {
	key := hostKey{host: host, incarnation: r.Incarnation}
	h := l.hosts[key]
	if h == nil {
		h = &hostState{base: r.Used, routes: map[core.RouteID]uint64{}, cells: map[cellKey]core.RolloutCell{}}
		l.hosts[key] = h
	}
	h.update(r, now)
	for route, n := range r.Routes {
		if former, known := h.routes[route]; (known || len(h.routes) < maxRoutes) && n > former {
			h.routes[route] = n
			l.byRoute[route] += n - former
		}
	}
	for i := range r.Cells {
		l.replace(h, &r.Cells[i])
	}
	return h
}

// seen returns the number of requests that all hosts took for the pool.
func (l *ledger) seen() uint64 {
	sum := uint64(0)
	for _, h := range l.hosts {
		sum += h.seen
	}
	return sum
}

// used returns the number of requests that all hosts have reported to have sent to the new version.
func (l *ledger) used() uint64 {
	sum := uint64(0)
	for _, h := range l.hosts {
		sum += h.used
	}
	return sum
}

// committed returns an upper bound of the number of requests that hosts have sent or may still send to the new
// version. carried is what former deciders may have granted.
func (l *ledger) committed(carried uint64) uint64 {
	base, own := uint64(0), uint64(0)
	for _, h := range l.hosts {
		base, own = base+h.base, own+h.committed()-h.base
	}
	return max(carried, base) + own
}

// grant issues a lease to a host that has just reported, so that all hosts together stay below a limit. It returns
// the lease's number and the bound on what the host has used.
func (l *ledger) grant(h *hostState, limit, carried uint64, now time.Duration) lease {
	others := l.committed(carried) - (h.committed() - h.used)
	left := uint64(0)
	if limit > others {
		left = limit - others
	}
	part := l.trafficPart(h, now)
	amount := min(uint64(grantShare*part*float64(left)+0.5), left)
	if left > 0 && amount == 0 && part > 0 {
		amount = l.singleGrant(h, left, now)
	}
	l.next++
	issued := lease{number: l.next, granted: h.used + amount}
	h.add(issued)
	return issued
}

// singleGrant returns 1 for as many hosts in turn as there are requests left, otherwise zero. Without it, many hosts
// with little traffic each would get nothing.
func (l *ledger) singleGrant(h *hostState, left uint64, now time.Duration) uint64 {
	waiting := uint64(0)
	for _, other := range l.hosts {
		if now-other.reportedAt < lateReport && (other.used < h.used) {
			waiting++
		}
	}
	if waiting < left {
		return 1
	}
	return 0
}

// trafficPart returns a host's part of the traffic of all hosts that are in touch.
func (l *ledger) trafficPart(h *hostState, now time.Duration) float64 {
	sum := 0.0
	for _, other := range l.hosts {
		if now-other.reportedAt < lateReport {
			sum += float64(other.seen) + 1
		}
	}
	return (float64(h.seen) + 1) / max(sum, 1)
}

// replace takes over the totals of a cell of a host. Totals only grow.
func (l *ledger) replace(h *hostState, c *core.RolloutCell) {
	key := keyOf(c)
	former, known := h.cells[key]
	if !known && len(h.cells) >= maxCells {
		return
	}
	latest := core.RolloutCell{
		Route: c.Route, Remote: c.Remote, New: c.New, Window: c.Window,
		Ended: max(c.Ended, former.Ended), Failed: max(c.Failed, former.Failed),
		Times: later(former.Times, c.Times), Gaps: later(former.Gaps, c.Gaps),
	}
	h.cells[key] = latest
	l.sum.add(&core.RolloutCell{
		Route: c.Route, Remote: c.Remote, New: c.New, Window: c.Window,
		Ended: latest.Ended - former.Ended, Failed: latest.Failed - former.Failed,
		Times: difference(former.Times, latest.Times), Gaps: difference(former.Gaps, latest.Gaps),
	})
}
