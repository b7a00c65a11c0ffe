package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

// failureStop is the number of failures of the new version in a row after which a host stops using its quota until
// it gets another one. It holds also while the decider cannot be reached.
const failureStop = 3

// Exposure is what one host does in a pool's rollout: it uses quotas and counts results. It must be used by one
// goroutine only.
type Exposure struct {
	incarnation uint64
	ttl         time.Duration // of quotas
	record      core.RolloutRecord
	quota       core.RolloutQuota
	validUntil  time.Duration
	since       time.Duration // when the order was learned of
	failures    int           // of the new version, in a row
	seen, used  uint64
	routes      map[core.RouteID]uint64
	cells       map[cellKey]*core.RolloutCell
	// changed has the report after which a count changed last, and reported the number of the last report. What
	// changed after the latest report that the decider has answered is reported again.
	changedRoutes map[core.RouteID]uint64
	changedCells  map[cellKey]uint64
	reported      uint64
	reportedAt    time.Duration
}

// NewExposure returns the exposure of a host's process, whose incarnation is a number that is never used again.
func NewExposure(incarnation uint64, bounds Bounds) *Exposure {
	x := &Exposure{incarnation: incarnation, ttl: bounds.leaseTTL()}
	x.reset()
	return x
}

func (x *Exposure) reset() {
	x.seen, x.used, x.failures = 0, 0, 0
	x.routes, x.cells = map[core.RouteID]uint64{}, map[cellKey]*core.RolloutCell{}
	x.changedRoutes, x.changedCells = map[core.RouteID]uint64{}, map[cellKey]uint64{}
	x.quota, x.validUntil = core.RolloutQuota{}, 0
}

// SetRecord takes over the state of the rollout. A new order voids the quota and all counts, and another decider
// gets all counts again.
func (x *Exposure) SetRecord(r core.RolloutRecord, now time.Duration) {
	former := x.record
	x.record = r
	switch {
	case former.Order != r.Order && !(former.To == r.To && r.Order.Era > former.Order.Era):
		x.reset()
		x.since = now
	case former.Decider != r.Decider || former.Order != r.Order || !r.Phase.Active():
		x.quota, x.validUntil = core.RolloutQuota{}, 0
		for route := range x.routes {
			x.changedRoutes[route] = x.reported
		}
		for key := range x.cells {
			x.changedCells[key] = x.reported
		}
	}
}

// Arrive counts a request of a caller. canProbe says whether a target of the new version can take it. Arrive reports whether it is sent to the new version. In that case it uses one
// unit of the quota.
func (x *Exposure) Arrive(route core.RouteID, id string, canProbe bool, now time.Duration) bool {
	if !x.record.Phase.Active() {
		return false
	}
	x.seen++
	if _, known := x.routes[route]; known || len(x.routes) < maxRoutes {
		x.routes[route]++
		x.changedRoutes[route] = x.reported
	}
	if x.record.Phase == core.RolloutShifting {
		x.used++
		return true
	}
	if !canProbe || now >= x.validUntil || x.used >= x.quota.Granted || x.failures >= failureStop || !(fractionOf(id) < x.share(route)) {
		return false
	}
	x.used++
	return true
}

// AddUnplanned counts a request that is sent to the new version without a quota, as when a stream that runs there
// goes on at another target.
func (x *Exposure) AddUnplanned() { x.used++ }

// Return takes back a unit of the quota whose request was not sent.
func (x *Exposure) Return() {
	if x.used > 0 {
		x.used--
	}
}

func (x *Exposure) share(route core.RouteID) float64 {
	if share, ok := x.quota.Shares[route]; ok {
		return share
	}
	return x.quota.DefaultShare
}

// fractionOf returns a fraction between 0 and 1 that is evenly distributed over the ids of requests.
func fractionOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// Accept takes over a quota that answers the report sent at sentAt.
func (x *Exposure) Accept(q core.RolloutQuota, sentAt time.Duration) {
	if q.Order != x.record.Order || x.record.Phase != core.RolloutProbing || q.Lease <= x.quota.Lease {
		return
	}
	x.quota, x.validUntil, x.failures = q, sentAt+x.ttl, 0
	if sentAt != x.reportedAt {
		return
	}
	maps.DeleteFunc(x.changedRoutes, func(_ core.RouteID, after uint64) bool { return after < x.reported })
	maps.DeleteFunc(x.changedCells, func(_ cellKey, after uint64) bool { return after < x.reported })
}

// Window returns the window of a request that is placed now.
func (x *Exposure) Window(now time.Duration) uint32 { return windowOf(now - x.since) }

// RecordTime counts the time to a request's first event, or to the answer of a call.
func (x *Exposure) RecordTime(of Sample, d time.Duration) {
	if c := x.cell(of); c != nil {
		c.Times = count(c.Times, d)
	}
}

// RecordPause counts the mean pause between the first events of a stream.
func (x *Exposure) RecordPause(of Sample, d time.Duration) {
	if c := x.cell(of); c != nil {
		c.Gaps = count(c.Gaps, d)
	}
}

// RecordEnd counts the end of a request.
func (x *Exposure) RecordEnd(of Sample, failed bool) {
	c := x.cell(of)
	if c == nil {
		return
	}
	c.Ended++
	if failed {
		c.Failed++
	}
	switch {
	case of.New && failed:
		x.failures++
	case of.New:
		x.failures = 0
	}
}

// cell returns the cell to count in, or nil if there are too many.
func (x *Exposure) cell(of Sample) *core.RolloutCell {
	key := cellKey{stratum: stratum{route: of.Route, remote: of.Remote}, window: of.Window, isNew: of.New}
	c := x.cells[key]
	if c == nil {
		if len(x.cells) >= maxCells || !x.record.Phase.Active() {
			return nil
		}
		c = &core.RolloutCell{Route: of.Route, Remote: of.Remote, New: of.New, Window: of.Window}
		x.cells[key] = c
	}
	x.changedCells[key] = x.reported
	return c
}

// Report returns the report that is sent at a time, or false if no rollout is active.
func (x *Exposure) Report(now time.Duration) (core.RolloutReport, bool) {
	if !x.record.Phase.Active() {
		return core.RolloutReport{}, false
	}
	r := core.RolloutReport{
		Pool: x.record.Pool, Order: x.record.Order, Incarnation: x.incarnation, Lease: x.quota.Lease,
		Seen: x.seen, Used: x.used, Routes: map[core.RouteID]uint64{},
	}
	for route := range x.changedRoutes {
		r.Routes[route] = x.routes[route]
	}
	for key := range x.changedCells {
		c := *x.cells[key]
		c.Times, c.Gaps = slices.Clone(c.Times), slices.Clone(c.Gaps)
		r.Cells = append(r.Cells, c)
	}
	x.reported++
	x.reportedAt = now
	return r, true
}
