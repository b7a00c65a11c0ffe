package relay

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

func runJob(desk *ticketDesk, engines Engines, sink Sink) {
	runCaller(context.Background(), NewRetryBudget(), desk, engines, sink)
}

func runCaller(ctx context.Context, budget *RetryBudget, desk *ticketDesk, engines Engines, sink Sink) {
	runClock(ctx, quickClock{clockwork.NewRealClock()}, budget, desk, engines, sink)
}

func runClock(ctx context.Context, clock clockwork.Clock, budget *RetryBudget, desk *ticketDesk, engines Engines, sink Sink) {
	relay := New(Options{Controller: desk, Engines: engines, Clock: clock, Metrics: noMetrics{}, Budget: budget})
	relay.Run(ctx, &StreamRequest{Rerunnable: true, Resumable: true}, sink)
}

func TestRecovery(t *testing.T) {
	defer goleak.VerifyNone(t)
	const failed, used, unused, cancelled = core.Failed, core.Completed, core.Unused, core.Cancelled
	for _, c := range []struct {
		name    string
		faults  []fault
		limit   int64
		results map[core.TargetID]core.Result
		avoided core.TargetID // by the second ticket
		kind    core.RefusalKind
		run     core.RunState
		tokens  int
	}{
		{"healthy", nil, 0, map[core.TargetID]core.Result{"t1": used}, "", "", "", 5},
		{"connection breaks twice", []fault{{Frames: 2}, {Frames: 1}}, 0, map[core.TargetID]core.Result{"t1": used}, "", "", "", 5},
		{"duplicates, a gap and crossed frames", []fault{{Repeat: true, Gap: 3, Crossed: true}}, 0, map[core.TargetID]core.Result{"t1": used}, "", "", "", 5},
		{"answer to the start is lost", []fault{{Open: "lost"}}, 0, map[core.TargetID]core.Result{"t1": used}, "", "", "", 5},
		{"target restarts", []fault{{Frames: 2}, {Open: "restarted"}}, 0, map[core.TargetID]core.Result{"t1": failed, "t2": used}, "t1", "", "", 5},
		{"stream is forgotten, rerun breaks", []fault{{Frames: 3}, {Open: "forgotten"}, {Frames: 1}}, 0, map[core.TargetID]core.Result{"t1": failed, "t2": used}, "t1", "", "", 5},
		{"not reached", []fault{{Open: "unsent"}}, 0, map[core.TargetID]core.Result{"t1": unused, "t2": used}, "t1", "", "", 5},
		{"overloaded", []fault{{Open: "overloaded"}}, 0, map[core.TargetID]core.Result{"t1": failed, "t2": used}, "t1", "", "", 5},
		{"rerun differs", []fault{{Frames: 3}, {Open: "restarted"}, {Diverge: 2}}, 0, map[core.TargetID]core.Result{"t1": failed, "t2": cancelled}, "t1", core.RefusedDiverged, core.Ran, 3},
		{"no ticket for the rerun", []fault{{Frames: 3}, {Open: "restarted"}}, 1, map[core.TargetID]core.Result{"t1": failed}, "", core.RefusedTargetFailed, core.Ran, 3},
		{"nothing reached", []fault{{Open: "unsent"}, {Open: "unsent"}, {Open: "unsent"}, {Open: "unsent"}}, 0, map[core.TargetID]core.Result{"t1": unused, "t2": unused, "t3": unused, "t4": unused}, "t1", core.RefusedTargetFailed, core.NotRun, 0},
		{"no ticket after a refused start", []fault{{Open: "overloaded"}}, 1, map[core.TargetID]core.Result{"t1": failed}, "", core.RefusedNoCapacity, core.NotRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			desk, sink := newTicketDesk(), &collector{}
			desk.limit = c.limit
			runJob(desk, &faultyEngines{length: 5, faults: c.faults}, sink)
			require.Equal(t, c.results, desk.results())
			requirePrefix(t, sink, 0)
			require.Len(t, sink.tokens, c.tokens)
			<-desk.asked
			if c.avoided != "" {
				second := <-desk.asked
				require.Equal(t, c.avoided, second.Avoid)
				require.Equal(t, c.faults[0].Frames > 0, second.Priority == rerunPriority)
			}
			if c.kind == "" {
				require.Nil(t, sink.ending.Refusal)
				return
			}
			require.Equal(t, c.kind, sink.ending.Refusal.Kind)
			require.Equal(t, c.run, sink.ending.Refusal.Run)
			require.Equal(t, core.Sequence(c.tokens), sink.ending.Delivered)
		})
	}
}

// requirePrefix requires that the caller has the first tokens of one text, in order.
func requirePrefix(t require.TestingT, sink *collector, diverge int) {
	for i, token := range sink.tokens {
		require.Equal(t, core.Sequence(i+1), token.Sequence)
		require.Equal(t, tokenText(i+1, diverge), token.Text)
	}
}

// A stream whose target will be reclaimed goes on until its rerun has caught up.
func TestReclaimMovesTheStreamWithoutAStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	desk := newTicketDesk()
	engines := &faultyEngines{length: 5, hold: make(chan struct{})}
	sink := &collector{onSome: func(n int) {
		if n == 4 {
			close(desk.revoked) // the first connection now waits for hold, which never comes
		}
	}}
	runJob(desk, engines, sink)
	requirePrefix(t, sink, 0)
	require.Len(t, sink.tokens, 5)
	require.Nil(t, sink.ending.Refusal)
	require.Equal(t, map[core.TargetID]core.Result{"t1": core.Cancelled, "t2": core.Completed}, desk.results())
}

// A link that goes silent without an error is left, and a target that stays silent is
// replaced by a rerun.
func TestSilentConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, faults := range map[string][]fault{
		"link":              {{Hang: true, Frames: 2}},
		"before any token":  {{Hang: true}},
		"target":            {{Hang: true, Frames: 2}, {Hang: true}, {Hang: true}},
		"rerun goes silent": {{Frames: 2}, {Open: "restarted"}, {Hang: true, Frames: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			desk, sink := newTicketDesk(), &collector{}
			runClock(context.Background(), hastyClock{quickClock{clockwork.NewRealClock()}}, NewRetryBudget(), desk, &faultyEngines{length: 5, faults: faults}, sink)
			requirePrefix(t, sink, 0)
			require.Len(t, sink.tokens, 5)
			require.Nil(t, sink.ending.Refusal)
			require.Equal(t, int(desk.granted.Load()), len(desk.closed))
		})
	}
}

func TestOnlyNewTokensEndSilence(t *testing.T) {
	g := core.GenerationID{1}
	s := newSession(New(Options{Controller: newTicketDesk(), Clock: clockwork.NewFakeClock()}), &StreamRequest{}, &collector{})
	s.attempts = []*attempt{{generation: g}}
	for _, c := range []struct {
		frame  engine.Frame
		silent int
	}{
		{engine.Frame{Generation: g, Sequence: 1}, 0},
		{engine.Frame{Generation: g, Sequence: 1}, 1},
		{engine.Frame{Generation: core.GenerationID{2}, Sequence: 2}, 1},
		{engine.Frame{Generation: g, Sequence: 2}, 0},
	} {
		s.silent = 1
		s.account(&c.frame)
		require.Equal(t, c.silent, s.silent)
	}
}

// Whatever connections do, the caller has a prefix of one text and a typed end, and
// every ticket is closed once.
func TestAnyFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	opens := rapid.SampledFrom([]string{"", "", "", "", "unsent", "overloaded", "restarted", "forgotten", "lost"})
	rapid.Check(t, func(t *rapid.T) {
		const length = 6
		engines := &faultyEngines{length: length}
		for range rapid.IntRange(0, 8).Draw(t, "connections") {
			engines.faults = append(engines.faults, fault{
				Open:    opens.Draw(t, "open"),
				Frames:  rapid.IntRange(0, length).Draw(t, "frames"),
				Repeat:  rapid.Bool().Draw(t, "repeat"),
				Gap:     rapid.IntRange(0, length).Draw(t, "gap"),
				Crossed: rapid.Bool().Draw(t, "crossed"),
			})
		}
		desk, sink := newTicketDesk(), &collector{}
		runJob(desk, engines, sink)
		requirePrefix(t, sink, 0)
		require.Equal(t, core.Sequence(len(sink.tokens)), sink.ending.Delivered)
		require.Equal(t, sink.ending.Refusal == nil, len(sink.tokens) == length)
		require.Equal(t, int(desk.granted.Load()), len(desk.closed))
	})
}

// A caller that leaves at any moment leaves no goroutine, and every ticket is closed once.
func TestCallerLeavesAmongFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	rapid.Check(t, func(t *rapid.T) {
		engines := &faultyEngines{length: 6}
		for range rapid.IntRange(0, 4).Draw(t, "connections") {
			open := rapid.SampledFrom([]string{"", "", "restarted", "lost"}).Draw(t, "open")
			engines.faults = append(engines.faults, fault{Open: open, Frames: rapid.IntRange(1, 4).Draw(t, "frames")})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		desk, sink := newTicketDesk(), &collector{leave: rapid.IntRange(1, 7).Draw(t, "leave")}
		if rapid.Bool().Draw(t, "leaves at once") {
			cancel()
		}
		runCaller(ctx, NewRetryBudget(), desk, engines, sink)
		requirePrefix(t, sink, 0)
		require.Equal(t, int(desk.granted.Load()), len(desk.closed))
	})
}

func TestSpentBudgetStopsReruns(t *testing.T) {
	budget := NewRetryBudget()
	for budget.Spend() {
		require.NotNil(t, budget)
	}
	desk, sink := newTicketDesk(), &collector{}
	runCaller(context.Background(), budget, desk, &faultyEngines{length: 5, faults: []fault{{Frames: 2}, {Open: "restarted"}}}, sink)
	require.Equal(t, core.RefusedTargetFailed, sink.ending.Refusal.Kind)
	require.Equal(t, int64(1), desk.granted.Load())
}

func TestLapsedTicketIsNotUsed(t *testing.T) {
	desk, sink, engines := newTicketDesk(), &collector{}, &faultyEngines{length: 5}
	desk.lapsed = true
	runJob(desk, engines, sink)
	require.Equal(t, core.RefusedStaleTicket, sink.ending.Refusal.Kind)
	require.Equal(t, core.NotRun, sink.ending.Refusal.Run)
	require.Zero(t, engines.opened.Load())
	require.Equal(t, map[core.TargetID]core.Result{"t1": core.Unused, "t2": core.Unused, "t3": core.Unused}, desk.results())
}

// An attempt that starts after its connection was given up is cancelled at once.
func TestStartOfAGivenUpConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	desk := newTicketDesk()
	s := newSession(New(Options{Controller: desk, Engines: &faultyEngines{}, Clock: clockwork.NewFakeClock()}), &StreamRequest{}, &collector{})
	s.connections = []connection{{id: 1}}
	require.True(t, s.started(&arrival{connection: 1, attempt: &attempt{ticketed: true}}))
	require.False(t, s.started(&arrival{connection: 2, attempt: &attempt{ticketed: true, target: "t2"}}))
	require.Equal(t, core.Cancelled, (<-desk.closed).Result)
	require.Equal(t, arrivalExited, (<-s.inbox).kind)
}
