package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func probingRecord(decider string, order uint64) core.RolloutRecord {
	return core.RolloutRecord{Pool: "web", Sequence: 2, Phase: core.RolloutProbing, Current: "v1", To: "v2", Decider: decider, Order: core.StorePosition{Era: 1, Revision: order}}
}

// arrivals returns how many of some requests are exposed at a time.
func arrivals(x *Exposure, n int, now time.Duration) int {
	exposed := 0
	for i := range n {
		if x.Arrive("r", fmt.Sprint(now, i), true, now) {
			exposed++
		}
	}
	return exposed
}

// A quota must bound the exposure of a host that hears nothing more: it is a number, and it ends.
func TestQuotaIsCountedAndExpires(t *testing.T) {
	x := NewExposure(1, simBounds)
	x.SetRecord(probingRecord("a", 9), 0)
	require.Zero(t, arrivals(x, 100, 0), "without a quota, nothing is exposed")
	quota := core.RolloutQuota{Pool: "web", Order: x.record.Order, Lease: 1, Granted: 5, DefaultShare: 0.5}
	x.Accept(quota, time.Second)
	require.Equal(t, 5, arrivals(x, 100, time.Second))
	quota.Lease, quota.Granted = 2, 20
	x.Accept(quota, time.Second)
	require.Zero(t, arrivals(x, 100, time.Second+maxLeaseTTL), "a quota that was held up on its way must be void")
	require.InDelta(t, 15, arrivals(x, 100, 2*time.Second), 0)
	quota.Order.Revision = 10
	quota.Lease, quota.Granted = 3, 90
	x.Accept(quota, 2*time.Second)
	require.Zero(t, arrivals(x, 100, 2*time.Second), "a quota of another order must be void")
}

// A host must stop by itself when the new version fails, since the decider may be away.
func TestHostStopsAfterFailuresInARow(t *testing.T) {
	x := NewExposure(1, simBounds)
	x.SetRecord(probingRecord("a", 9), 0)
	x.Accept(core.RolloutQuota{Pool: "web", Order: x.record.Order, Lease: 1, Granted: 50, DefaultShare: 0.5}, 0)
	require.Positive(t, arrivals(x, 10, 0))
	for range failureStop {
		x.RecordEnd(Sample{Route: "r", New: true}, true)
	}
	require.Zero(t, arrivals(x, 100, 0))
}

// A new order must void what was granted and counted for the former one.
func TestNewOrderVoidsQuotaAndCounts(t *testing.T) {
	x := NewExposure(1, simBounds)
	x.SetRecord(probingRecord("a", 9), 0)
	x.Accept(core.RolloutQuota{Pool: "web", Order: x.record.Order, Lease: 1, Granted: 50, DefaultShare: 0.5}, 0)
	arrivals(x, 10, 0)
	x.SetRecord(probingRecord("a", 12), 0)
	require.Zero(t, arrivals(x, 10, 0))
	report, active := x.Report(0)
	require.True(t, active)
	require.Equal(t, uint64(10), report.Seen)
	require.Zero(t, report.Used)
}

// Counts that are lost on their way, or that a former decider has got, must be reported again; others must not, because
// reports are sent by hundreds of hosts.
func TestCountsAreReportedUntilConfirmed(t *testing.T) {
	x := NewExposure(1, simBounds)
	x.SetRecord(probingRecord("a", 9), 0)
	x.RecordEnd(Sample{Route: "r"}, false)
	first, _ := x.Report(1)
	require.Len(t, first.Cells, 1)
	second, _ := x.Report(2)
	require.Len(t, second.Cells, 1, "the first report was lost")
	x.Accept(core.RolloutQuota{Order: x.record.Order, Lease: 1}, 2)
	third, _ := x.Report(3)
	require.Empty(t, third.Cells)
	x.RecordEnd(Sample{Route: "r"}, false)
	x.Accept(core.RolloutQuota{Order: x.record.Order, Lease: 2}, 3)
	fourth, _ := x.Report(4)
	require.Len(t, fourth.Cells, 1, "the count has changed after the report that was confirmed")
	x.Accept(core.RolloutQuota{Order: x.record.Order, Lease: 3}, 4)
	x.SetRecord(probingRecord("b", 9), 0)
	fifth, _ := x.Report(5)
	require.Len(t, fifth.Cells, 1, "another decider does not know the counts")
	require.Equal(t, uint32(2), fifth.Cells[0].Ended)
}

// A route with little traffic must get as many probes as the others, as far as it has requests.
func TestSpreadEvensOutRoutes(t *testing.T) {
	shares := spread(map[core.RouteID]uint64{"busy": 900, "calm": 90, "rare": 10}, 0.1)
	require.InDelta(t, 5, shares["rare"]*10, 1e-9)
	require.InDelta(t, 45, shares["calm"]*90, 1e-9)
	require.InDelta(t, 50, shares["busy"]*900, 1e-9)
	require.Empty(t, spread(nil, 0.1))
}
