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

func runRequest(controller *fakeController, engines Engines, sink Sink) {
	runCaller(context.Background(), NewRetryBudget(), controller, engines, sink)
}

func runCaller(ctx context.Context, budget *RetryBudget, controller *fakeController, engines Engines, sink Sink) {
	runClock(ctx, fastTimerClock{clockwork.NewRealClock()}, budget, controller, engines, sink)
}

func runClock(ctx context.Context, clock clockwork.Clock, budget *RetryBudget, controller *fakeController, engines Engines, sink Sink) {
	relay := New(Options{Controller: controller, Engines: engines, Clock: clock, Metrics: noMetrics{}, Budget: budget})
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
			controller, sink := newFakeController(), &collector{}
			controller.limit = c.limit
			runRequest(controller, &faultyEngines{length: 5, faults: c.faults}, sink)
			require.Equal(t, c.results, controller.results())
			requirePrefix(t, sink, 0)
			require.Len(t, sink.tokens, c.tokens)
			<-controller.requests
			if c.avoided != "" {
				second := <-controller.requests
				require.Equal(t, c.avoided, second.Avoid)
				require.Equal(t, c.faults[0].Frames > 0, second.Priority == rerunPriority)
			}
			if c.kind == "" {
				require.Nil(t, sink.result.Refusal)
				return
			}
			require.Equal(t, c.kind, sink.result.Refusal.Kind)
			require.Equal(t, c.run, sink.result.Refusal.Run)
			require.Equal(t, core.Sequence(c.tokens), sink.result.Delivered)
		})
	}
}

// requirePrefix requires that the caller has the first tokens of the given text, in order.
func requirePrefix(t require.TestingT, sink *collector, diverge int) {
	for i, token := range sink.tokens {
		require.Equal(t, core.Sequence(i+1), token.Sequence)
		require.Equal(t, tokenText(i+1, diverge), token.Text)
	}
}

// After a revocation the stream continues from its target until the rerun has caught up.
func TestRevocationRerunsWithoutPause(t *testing.T) {
	defer goleak.VerifyNone(t)
	controller := newFakeController()
	engines := &faultyEngines{length: 5, hold: make(chan struct{})}
	sink := &collector{onToken: func(n int) {
		if n == 4 {
			close(controller.revoked) // the first connection now waits for hold, which is never closed
		}
	}}
	runRequest(controller, engines, sink)
	requirePrefix(t, sink, 0)
	require.Len(t, sink.tokens, 5)
	require.Nil(t, sink.result.Refusal)
	require.Equal(t, map[core.TargetID]core.Result{"t1": core.Cancelled, "t2": core.Completed}, controller.results())
}

// A connection that goes silent without an error is replaced, and a target that stays
// silent is replaced by a rerun.
func TestSilentConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, faults := range map[string][]fault{
		"link":              {{Hang: true, Frames: 2}},
		"before any token":  {{Hang: true}},
		"target":            {{Hang: true, Frames: 2}, {Hang: true}, {Hang: true}},
		"rerun goes silent": {{Frames: 2}, {Open: "restarted"}, {Hang: true, Frames: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			controller, sink := newFakeController(), &collector{}
			runClock(context.Background(), fastTickerClock{fastTimerClock{clockwork.NewRealClock()}}, NewRetryBudget(), controller, &faultyEngines{length: 5, faults: faults}, sink)
			requirePrefix(t, sink, 0)
			require.Len(t, sink.tokens, 5)
			require.Nil(t, sink.result.Refusal)
			require.Equal(t, int(controller.granted.Load()), len(controller.closed))
		})
	}
}

func TestOnlyNewTokensEndSilence(t *testing.T) {
	g := core.GenerationID{1}
	s := newSession(New(Options{Controller: newFakeController(), Clock: clockwork.NewFakeClock()}), &StreamRequest{}, &collector{})
	s.attempts = []*attempt{{generation: g}}
	for _, c := range []struct {
		frame        engine.Frame
		silentChecks int
	}{
		{engine.Frame{Generation: g, Sequence: 1}, 0},
		{engine.Frame{Generation: g, Sequence: 1}, 1},
		{engine.Frame{Generation: core.GenerationID{2}, Sequence: 2}, 1},
		{engine.Frame{Generation: g, Sequence: 2}, 0},
	} {
		s.silentChecks = 1
		s.recordProgress(&c.frame)
		require.Equal(t, c.silentChecks, s.silentChecks)
	}
}

// With any sequence of faults the caller gets a prefix of one text and a result, and every
// ticket is closed once.
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
		controller, sink := newFakeController(), &collector{}
		runRequest(controller, engines, sink)
		requirePrefix(t, sink, 0)
		require.Equal(t, core.Sequence(len(sink.tokens)), sink.result.Delivered)
		require.Equal(t, sink.result.Refusal == nil, len(sink.tokens) == length)
		require.Equal(t, int(controller.granted.Load()), len(controller.closed))
	})
}

// After a caller disconnects at any moment no goroutine is left, and every ticket is closed
// once.
func TestCallerLeavesWithFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	rapid.Check(t, func(t *rapid.T) {
		engines := &faultyEngines{length: 6}
		for range rapid.IntRange(0, 4).Draw(t, "connections") {
			open := rapid.SampledFrom([]string{"", "", "restarted", "lost"}).Draw(t, "open")
			engines.faults = append(engines.faults, fault{Open: open, Frames: rapid.IntRange(1, 4).Draw(t, "frames")})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		controller, sink := newFakeController(), &collector{leaveAt: rapid.IntRange(1, 7).Draw(t, "leave")}
		if rapid.Bool().Draw(t, "leaves at once") {
			cancel()
		}
		runCaller(ctx, NewRetryBudget(), controller, engines, sink)
		requirePrefix(t, sink, 0)
		require.Equal(t, int(controller.granted.Load()), len(controller.closed))
	})
}

func TestSpentBudgetStopsReruns(t *testing.T) {
	budget := NewRetryBudget()
	for budget.TrySpend() {
		require.NotNil(t, budget)
	}
	controller, sink := newFakeController(), &collector{}
	runCaller(context.Background(), budget, controller, &faultyEngines{length: 5, faults: []fault{{Frames: 2}, {Open: "restarted"}}}, sink)
	require.Equal(t, core.RefusedTargetFailed, sink.result.Refusal.Kind)
	require.Equal(t, int64(1), controller.granted.Load())
}

func TestLapsedTicketIsNotUsed(t *testing.T) {
	controller, sink, engines := newFakeController(), &collector{}, &faultyEngines{length: 5}
	controller.expired = true
	runRequest(controller, engines, sink)
	require.Equal(t, core.RefusedStaleTicket, sink.result.Refusal.Kind)
	require.Equal(t, core.NotRun, sink.result.Refusal.Run)
	require.Zero(t, engines.opened.Load())
	require.Equal(t, map[core.TargetID]core.Result{"t1": core.Unused, "t2": core.Unused, "t3": core.Unused}, controller.results())
}

// A generation that starts after its connection was closed is cancelled at once.
func TestStartAfterConnectionClosed(t *testing.T) {
	defer goleak.VerifyNone(t)
	controller := newFakeController()
	s := newSession(New(Options{Controller: controller, Engines: &faultyEngines{}, Clock: clockwork.NewFakeClock()}), &StreamRequest{}, &collector{})
	s.connections = []connection{{id: 1}}
	require.True(t, s.handleStarted(&connectionReport{connection: 1, attempt: &attempt{hasTicket: true}}))
	require.False(t, s.handleStarted(&connectionReport{connection: 2, attempt: &attempt{hasTicket: true, target: "t2"}}))
	require.Equal(t, core.Cancelled, (<-controller.closed).Result)
	require.Equal(t, reportExited, (<-s.inbox).kind)
}
