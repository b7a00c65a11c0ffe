package pool

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// fixture is a pool with one target.
type fixture struct {
	t    *testing.T
	pool *Pool
	now  time.Time
	next uint64
}

var fixtureKind = core.TargetKind{ColdStreams: 2, WarmStreams: 6, MemoryTokens: 10_000, FirstTokenMS: 500, TokenGapMS: 100}

func newFixture(t *testing.T, kind core.TargetKind, fence core.Fence) *fixture {
	settings := Settings{QueueEntries: 3, MaxTokens: 1000, ReleaseAfter: 20 * time.Second}
	f := &fixture{t: t, now: time.Unix(1000, 0), pool: New("model/m", "owner", settings)}
	require.Empty(t, f.pool.SetTarget(core.Target{ID: "e"}, kind, fence, true, f.now))
	return f
}

func (f *fixture) pass(span time.Duration) []Effect {
	f.now = f.now.Add(span)
	return f.pool.Tick(f.now)
}

func (f *fixture) report(change func(*core.LoadReport)) []Effect {
	report := core.LoadReport{Target: "e", Incarnation: "i1", ListsStreams: true, MemoryTotal: 10_000}
	if change != nil {
		change(&report)
	}
	return f.pool.ApplyReport(report, f.now)
}

func (f *fixture) request() (core.GenerationID, []Effect) {
	f.next++
	var id core.GenerationID
	binary.BigEndian.PutUint64(id[:], f.next)
	request := core.TicketRequest{Generation: id, EntryHost: "h", Team: "a", PromptTokens: 10, MaxTokens: 100, QueueBudget: 5 * time.Second}
	return id, f.pool.RequestTicket(request, f.now)
}

// fill requests tickets until one has to wait, withdraws that request, and returns the
// granted generations.
func (f *fixture) fill() []core.GenerationID {
	var granted []core.GenerationID
	for {
		id, effects := f.request()
		if len(effects) == 0 {
			f.pool.WithdrawRequest(id, f.now)
			return granted
		}
		require.IsType(f.t, Grant{}, effects[0])
		granted = append(granted, id)
	}
}

func (f *fixture) complete(id core.GenerationID, firstMS, gapMS int64) {
	outcome := core.Outcome{Generation: id, Target: "e", Result: core.Completed, Output: 5, FirstTokenMS: firstMS, WorstTokenGapMS: gapMS}
	f.pool.CloseTicket(outcome, f.now)
}

func (f *fixture) limit() int { return f.pool.Views()[0].Limit }

// warm raises the limit to the warm bound with streams that end within all bounds.
func (f *fixture) warm() {
	f.report(nil)
	for f.limit() < fixtureKind.WarmStreams {
		f.runHealthy(5 * time.Second)
	}
}

// runHealthy fills the target with streams that run for the span and end within all bounds.
func (f *fixture) runHealthy(span time.Duration) {
	granted := f.fill()
	f.now = f.now.Add(span)
	f.report(nil)
	for _, id := range granted {
		f.complete(id, 100, 50)
	}
}

// TestShortStreamsDoNotRaiseTheLimit completes hundreds of short streams within the
// warm-up and checks that the limit grows only with one more round after it.
func TestShortStreamsDoNotRaiseTheLimit(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	const short = 100 * time.Millisecond
	for span := short; span < defaultWarmUp; span += short {
		f.runHealthy(short)
		require.Equal(t, fixtureKind.ColdStreams, f.limit())
	}
	f.runHealthy(short)
	require.Greater(t, f.limit(), fixtureKind.ColdStreams)
}

func TestNoTicketBeforeTheFirstReport(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	_, effects := f.request()
	require.Empty(t, effects)
	require.Len(t, f.report(nil), 1)
}

func TestLimitResetsToCold(t *testing.T) {
	cases := []struct {
		name string
		act  func(f *fixture)
	}{
		{"new incarnation", func(f *fixture) {
			f.pass(5 * time.Second)
			f.report(func(r *core.LoadReport) { r.Incarnation = "i2" })
		}},
		{"late first token", func(f *fixture) {
			id, _ := f.request()
			f.pool.RecordFirstToken(id, 501, f.now)
			f.complete(id, 501, 50)
		}},
		{"late first token known only at the close", func(f *fixture) {
			id, _ := f.request()
			f.complete(id, 501, 50)
		}},
		{"cache flush", func(f *fixture) { f.report(func(r *core.LoadReport) { r.CacheFlush = 1 }) }},
		{"counters reset", func(f *fixture) {
			f.report(func(r *core.LoadReport) { r.Preemptions = 7 })
			f.report(func(r *core.LoadReport) { r.Preemptions = 2 })
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, fixtureKind, 1)
			f.warm()
			require.Equal(t, fixtureKind.WarmStreams, f.limit())
			tc.act(f)
			require.Equal(t, fixtureKind.ColdStreams, f.limit())
		})
	}
}

func TestLimitGrowsOnlyOnHealthyStreams(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		gapMS   int64
		grows   bool
	}{
		{"within bounds", func(*fixture) {}, 100, true},
		{"token gap too long", func(*fixture) {}, 101, false},
		{"frozen", func(f *fixture) { f.pool.SetFrozen(true) }, 50, false},
		{"granted before the reset to cold", func(f *fixture) {
			f.now = f.now.Add(time.Second)
			f.report(func(r *core.LoadReport) { r.CacheFlush = 1 })
		}, 50, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, fixtureKind, 1)
			f.report(nil)
			granted := f.fill()
			f.now = f.now.Add(defaultWarmUp)
			tc.prepare(f)
			f.now = f.now.Add(defaultWarmUp)
			for _, id := range granted {
				f.complete(id, 100, tc.gapMS)
			}
			require.Equal(t, tc.grows, f.limit() > fixtureKind.ColdStreams)
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		act     func(f *fixture) []Effect
		kind    core.RefusalKind
		retries bool
	}{
		{"queue full", func(f *fixture) []Effect {
			f.fill()
			for range 3 {
				f.request()
			}
			_, effects := f.request()
			return effects
		}, core.RefusedQueueFull, true},
		{"budget ended", func(f *fixture) []Effect {
			f.fill()
			f.request()
			return f.pass(5 * time.Second)
		}, core.RefusedQueueTimeout, true},
		{"estimated wait exceeds the budget", func(f *fixture) []Effect {
			granted := f.fill()
			f.request()
			f.request()
			f.now = f.now.Add(4 * time.Second)
			f.complete(granted[0], 100, 200)
			_, effects := f.request()
			return effects
		}, core.RefusedQueueTimeout, true},
		{"too large", func(f *fixture) []Effect {
			return f.pool.RequestTicket(core.TicketRequest{Generation: core.GenerationID{9}, PromptTokens: 10_000}, f.now)
		}, core.RefusedTooLarge, false},
		{"target leaves while a request waits", func(f *fixture) []Effect {
			f.fill()
			f.request()
			return f.pool.RemoveTarget("e", f.now)
		}, core.RefusedNoCapacity, true},
		{"target accepts no work", func(f *fixture) []Effect {
			f.pool.SetTarget(core.Target{ID: "e"}, fixtureKind, 1, false, f.now)
			_, effects := f.request()
			return effects
		}, core.RefusedNoCapacity, true},
		{"entry host lost", func(f *fixture) []Effect {
			f.fill()
			f.request()
			return f.pool.HandleHostLost("h", f.now)
		}, core.RefusedNoCapacity, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, fixtureKind, 1)
			f.report(nil)
			effects := tc.act(f)
			require.Len(t, effects, 1)
			refusal := effects[0].(Refuse).Refusal
			require.Equal(t, tc.kind, refusal.Kind, refusal.Message)
			require.Equal(t, core.NotRun, refusal.Run)
			require.Equal(t, tc.retries, refusal.RetryAfter > 0, fmt.Sprint(refusal.RetryAfter))
		})
	}
}

func TestLimitSurvivesChangeOfOwner(t *testing.T) {
	cases := []struct {
		name      string
		inherited core.Incarnation
		streams   int
		frozen    bool
		want      int
	}{
		{"same incarnation", "i1", 5, false, 5},
		{"another incarnation", "i0", 5, false, fixtureKind.ColdStreams},
		{"beyond the warm bound", "i1", 50, false, fixtureKind.WarmStreams},
		{"below the cold floor", "i1", 1, false, fixtureKind.ColdStreams},
		{"degraded owner", "i1", 5, true, fixtureKind.ColdStreams},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, fixtureKind, 2)
			f.pool.SetFrozen(c.frozen)
			f.pool.InheritLimit("e", IncarnationHash(c.inherited), c.streams)
			f.report(nil)
			require.Equal(t, c.want, f.limit())
			f.pass(10 * time.Second)
			f.report(func(r *core.LoadReport) { r.Incarnation = "i2" })
			require.Equal(t, fixtureKind.ColdStreams, f.limit(), "a restart resets the limit to the cold floor")
			f.pool.InheritLimit("e", IncarnationHash("i2"), 6)
			f.report(func(r *core.LoadReport) { r.Incarnation = "i2" })
			require.Equal(t, fixtureKind.ColdStreams, f.limit(), "only the first report restores a limit")
		})
	}
}
