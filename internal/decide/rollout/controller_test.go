package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// fixture is a controller with a record in a store.
type fixture struct {
	*Controller
	t         *testing.T
	situation Situation
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{Controller: NewController("a/1", simBounds), t: t}
	f.situation = Situation{Now: time.Hour, StoreTime: 1000 * time.Hour, Targets: map[core.Version]VersionTargets{
		"v1": {Slots: 10, WarmSlots: 10, Oldest: 1}, "v2": {Slots: 10, WarmSlots: 10, Oldest: 2}}}
	f.write(f.Next(f.situation))
	return f
}

// write adopts a record as the store has it.
func (f *fixture) write(r *core.RolloutRecord) {
	f.t.Helper()
	require.NotNil(f.t, r)
	r.Pool = "web"
	require.True(f.t, f.Adopt(*r, f.situation.Now))
}

func (f *fixture) pass(d time.Duration) { f.situation.Now += d; f.situation.StoreTime += d }

func (f *fixture) order(to core.Version, revision uint64) {
	f.situation.Order = &core.RolloutOrder{Pool: "web", To: to, Duration: 10 * time.Second, Position: core.StorePosition{Era: 1, Revision: revision}}
	f.write(f.Next(f.situation))
}

// report reports answers of both versions from one host.
func (f *fixture) report(host core.HostID, used uint64, newCell, oldCell core.RolloutCell) (core.RolloutQuota, bool) {
	newCell.New = true
	return f.Report(host, core.RolloutReport{Pool: "web", Order: f.record.Order, Incarnation: 1, Seen: 1000, Used: used, Cells: []core.RolloutCell{newCell, oldCell}}, f.situation.Now)
}

func (f *fixture) phase() core.RolloutPhase { return f.record.Phase }

// A host that starts beside targets of two versions must take the older ones for those in force.
func TestFirstRecordNamesTheOldestVersion(t *testing.T) {
	f := newFixture(t)
	require.Equal(t, core.Version("v1"), f.record.Current)
	require.Equal(t, core.Version("v1"), f.record.Main())
	require.False(t, f.record.Allows("v2"), "a new version must get nothing before an order")
	require.Nil(t, f.Next(f.situation))
}

// A decider must move traffic only with evidence: with too few answers or targets, the rollout is rolled back at the end.
func TestEndOfARolloutWithoutFaults(t *testing.T) {
	for name, c := range map[string]struct {
		answers uint32
		slots   int
		used    uint64
		want    core.RolloutPhase
	}{
		"enough":             {answers: 5, slots: 10, used: 5, want: core.RolloutCompleted},
		"too few answers":    {answers: 4, slots: 10, used: 5, want: core.RolloutRolledBack},
		"no answers to most": {answers: 5, slots: 10, used: 11, want: core.RolloutRolledBack},
		"too few slots":      {answers: 5, slots: 7, used: 5, want: core.RolloutRolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.order("v2", 9)
			require.Equal(t, core.RolloutProbing, f.phase())
			f.situation.Targets["v2"] = VersionTargets{Slots: c.slots, WarmSlots: c.slots}
			f.situation.Targets["v1"] = VersionTargets{Slots: 10, WarmSlots: 10, Busy: 20}
			f.report("h", 0, core.RolloutCell{}, core.RolloutCell{})
			f.report("h", c.used, core.RolloutCell{Ended: c.answers}, core.RolloutCell{Ended: 900})
			for f.phase().Active() && f.situation.StoreTime < 1000*time.Hour+11*time.Second {
				if next := f.Next(f.situation); next != nil {
					f.write(next)
				}
				f.pass(100 * time.Millisecond)
			}
			require.Equal(t, c.want, f.phase(), f.record.Reason)
			require.Less(t, f.situation.StoreTime, 1000*time.Hour+10*time.Second, "the rollout must end before its deadline")
			if c.want == core.RolloutCompleted {
				require.Equal(t, core.Version("v2"), f.record.Current)
				require.False(t, f.record.Allows("v1"), "an old version must get nothing after completion")
			}
			require.Nil(t, f.Next(f.situation), "a final state must not be taken back")
		})
	}
}

// Requests that run at old targets are lost if these stop before they end.
func TestShiftWaitsForRequestsAtOldTargets(t *testing.T) {
	f := newFixture(t)
	f.order("v2", 9)
	f.report("h", 0, core.RolloutCell{}, core.RolloutCell{})
	f.report("h", 9, core.RolloutCell{Ended: 9}, core.RolloutCell{Ended: 900})
	f.situation.Targets["v1"] = VersionTargets{Slots: 10, WarmSlots: 10, Busy: 3}
	f.pass(7600 * time.Millisecond)
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutShifting, f.phase())
	require.Equal(t, core.Version("v2"), f.record.Main())
	f.pass(1250 * time.Millisecond)
	if next := f.Next(f.situation); next != nil {
		f.write(next)
	}
	require.Equal(t, core.RolloutShifting, f.phase())
	f.situation.Targets["v1"] = VersionTargets{Slots: 10, WarmSlots: 10}
	f.pass(100 * time.Millisecond)
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutCompleted, f.phase())
	require.Less(t, f.situation.StoreTime, 1000*time.Hour+9100*time.Millisecond, "not only at the last call")
}

// A decider must not grant what it has not reserved in the store, nor more than the steps allow, whatever hosts report.
func TestQuotasStayWithinTheReservation(t *testing.T) {
	f := newFixture(t)
	f.order("v2", 9)
	granted := map[core.HostID]uint64{}
	for round := range 5 {
		for i := range 30 {
			host := core.HostID(fmt.Sprint(i))
			quota, ok := f.Report(host, core.RolloutReport{Pool: "web", Order: f.record.Order, Incarnation: 1, Seen: uint64(100 * round)}, f.situation.Now)
			require.True(t, ok)
			granted[host] = max(granted[host], quota.Granted)
		}
	}
	sum := uint64(0)
	for _, n := range granted {
		sum += n
	}
	require.Positive(t, sum)
	require.LessOrEqual(t, sum, uint64(firstStep))
	require.LessOrEqual(t, f.record.Reserved, uint64(simBounds.Slack))
}

// What a former decider has granted is not known, so its whole reservation counts as used.
func TestTakeoverCountsTheFormerReservation(t *testing.T) {
	f := newFixture(t)
	f.order("v2", 9)
	second := &fixture{Controller: NewController("b/1", simBounds), t: t, situation: f.situation}
	second.Adopt(f.record, second.situation.Now)
	require.Nil(t, second.Next(second.situation), "the former decider may be alive")
	second.pass(takeoverTime)
	second.write(second.Next(second.situation))
	require.Equal(t, f.record.Reserved, second.record.Carried)
	require.True(t, second.Leads())
	quota, ok := second.report("h", 7, core.RolloutCell{}, core.RolloutCell{})
	require.True(t, ok)
	require.Equal(t, uint64(7), quota.Granted, "nothing is left to grant")
	f.pass(takeoverTime)
	f.Adopt(second.record, f.situation.Now)
	require.False(t, f.Leads())
	_, ok = f.report("h", 7, core.RolloutCell{}, core.RolloutCell{})
	require.False(t, ok, "two deciders grant quotas")
}

// A decider that cannot write must not grant quotas once another one may have taken over.
func TestDeciderWithoutStoreStopsGranting(t *testing.T) {
	f := newFixture(t)
	f.order("v2", 9)
	quota, _ := f.report("h", 0, core.RolloutCell{}, core.RolloutCell{})
	require.Positive(t, quota.Granted)
	f.pass(fenceTime)
	quota, _ = f.report("h", 1, core.RolloutCell{}, core.RolloutCell{})
	require.Equal(t, uint64(1), quota.Granted)
}

// A new order must replace the former one with its evidence, and the same order that is written again into a restored
// store must not.
func TestOrdersThatAreWrittenAgain(t *testing.T) {
	f := newFixture(t)
	f.order("v2", 9)
	f.report("h", 0, core.RolloutCell{}, core.RolloutCell{})
	f.report("h", 20, core.RolloutCell{Ended: 20, Failed: 20}, core.RolloutCell{Ended: 900})
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutRolledBack, f.phase())
	require.Contains(t, f.record.Reason, "failures")
	f.situation.Order.Position = core.StorePosition{Era: 2, Revision: 4}
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutRolledBack, f.phase(), "the order was only written again")
	require.Nil(t, f.Next(f.situation))
	f.situation.Order.Position = core.StorePosition{Era: 2, Revision: 8}
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutProbing, f.phase())
	require.Equal(t, simBounds.Allowance(0), f.record.Reserved)
	require.Zero(t, f.record.Used)
	f.situation.Order = nil
	f.write(f.Next(f.situation))
	require.Equal(t, core.RolloutRolledBack, f.phase(), "an order that was withdrawn is not in force")
	f.order("v1", 12)
	require.Equal(t, core.RolloutCompleted, f.phase(), "the version is in force already")
}

// Records may arrive late and in any order, from the store and from hubs. An older one must change nothing.
func TestOlderRecordsAreNotAdopted(t *testing.T) {
	f := newFixture(t)
	former := f.record
	f.order("v2", 9)
	require.False(t, f.Adopt(former, f.situation.Now))
	require.Equal(t, core.RolloutProbing, f.phase())
}
