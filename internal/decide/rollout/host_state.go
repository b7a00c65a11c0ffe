package rollout

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// hostState is what the decider knows of one process of a host.
type hostState struct {
	base       uint64 // requests that it had sent to the new version before it got a quota of this decider
	used       uint64 // requests that it has sent to the new version
	seen       uint64 // requests that it took for the pool
	reportedAt time.Duration
	leases     []lease // that the host may still use, oldest first
	routes     map[core.RouteID]uint64
	cells      map[cellKey]core.RolloutCell
}

// committed returns the number of requests that the process has sent or may still send to the new version.
func (h *hostState) committed() uint64 {
	most := h.used
	for _, l := range h.leases {
		most = max(most, l.granted)
	}
	return most
}

// update takes over a report. A lease is over once the host has a later one.
func (h *hostState) update(r *core.RolloutReport, now time.Duration) {
	h.used, h.seen, h.reportedAt = max(h.used, r.Used), max(h.seen, r.Seen), now
	if i := slices.IndexFunc(h.leases, func(l lease) bool { return l.number == r.Lease }); i > 0 {
		h.leases = h.leases[i:]
	}
}

const (
	// maxRoutes bounds the routes of a pool of which results are kept, and maxCells the cells: by route, version,
	// data centre and window.
	maxRoutes = 256
	maxCells  = 16 * maxRoutes
)

// maxLeases bounds the leases of a host that are kept while it confirms none.
const maxLeases = 16

// add adds a lease. Of too many, the oldest two become one that covers both.
func (h *hostState) add(l lease) {
	h.leases = append(h.leases, l)
	if len(h.leases) > maxLeases {
		h.leases[1].granted = max(h.leases[0].granted, h.leases[1].granted)
		h.leases = h.leases[1:]
	}
}
