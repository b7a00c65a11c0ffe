package claims

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/platform"
	"siskintide.example/siskintide/internal/service"
	"siskintide.example/siskintide/internal/snapshot"
)

// stubController grants tickets and records the results of closed ones.
type stubController struct {
	expired bool
	refusal *core.Refusal
	closed  chan core.Result
}

func (c *stubController) Snapshot() *snapshot.Snapshot {
	return &snapshot.Snapshot{Self: core.Host{ID: "h"}}
}
func (c *stubController) Acquire(_ context.Context, request core.TicketRequest) (controlapi.Grant, error) {
	if c.refusal != nil {
		return controlapi.Grant{}, c.refusal
	}
	before := time.Now().Add(time.Hour)
	if c.expired {
		before = time.Now().Add(-time.Hour)
	}
	return controlapi.Grant{Ticket: core.Ticket{Generation: request.Generation, Target: "t"}, StartBefore: before}, nil
}
func (c *stubController) Close(outcome core.Outcome)                { c.closed <- outcome.Result }
func (c *stubController) Track(core.GenerationID, *atomic.Int64)    {}
func (c *stubController) ReportFirstToken(core.GenerationID, int64) {}

// harness is an executor with its fakes.
type harness struct {
	table      *memoryTable
	controller *stubController
	executor   *Executor
	sent       atomic.Int64
	answer     Answer
	err        error
}

func newHarness(t *testing.T) *harness {
	h := &harness{table: newMemoryTable(t), controller: &stubController{closed: make(chan core.Result, 256)}, answer: Answer{Status: 201, Body: []byte("booked")}}
	h.executor = New(Options{Table: h.table, Controller: h.controller, Clock: clockwork.NewRealClock(), Backoff: time.Microsecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); h.executor.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return h
}

func (h *harness) call(key string) (got Result) {
	job := Job{Service: "booking", Key: key, BodyHash: [16]byte{1}, Timeout: time.Second}
	job.Send = func(context.Context, string) (Answer, error) {
		h.sent.Add(1)
		return h.answer, h.err
	}
	h.executor.Do(context.Background(), job, func(r Result) { got = r })
	return got
}

func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for name, size := range map[string]int{"in the row": 10, "in an object": maxRowAnswer + 1} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.answer.Body = bytes.Repeat([]byte("x"), size)
			require.Equal(t, h.answer, *h.call("k").Answer)
			require.Equal(t, core.Completed, <-h.controller.closed)
			require.Equal(t, 2, h.table.writes, "platform writes of one call")
			want := h.answer
			want.Replayed = true
			require.Equal(t, want, *h.call("k").Answer)
			require.Equal(t, int64(1), h.sent.Load())
			require.Equal(t, 2, h.table.writes)
			require.Empty(t, h.controller.closed, "a retry takes no ticket")
		})
	}
}

func TestFailures(t *testing.T) {
	lost := func(int) error { return &platform.AmbiguousError{Call: "commit"} }
	for _, c := range []struct {
		name   string
		set    func(*harness)
		run    core.RunState // empty: answered
		kind   core.RefusalKind
		state  core.ClaimState
		sent   int64
		result core.Result
	}{
		{"answers of all writes lost", func(h *harness) { h.table.fail = lost }, "", "", core.ClaimAnswered, 1, core.Completed},
		{"platform unavailable", func(h *harness) { h.table.unavailable = true }, core.RunUnknown, core.RefusedPlatformUnavailable, "", 0, 0},
		{"ticket expired", func(h *harness) { h.controller.expired = true }, core.NotRun, core.RefusedStaleTicket, core.ClaimVoid, 0, core.Unused},
		{"no ticket", func(h *harness) { h.controller.refusal = &core.Refusal{Kind: core.RefusedQueueFull, Run: core.NotRun} }, core.NotRun, core.RefusedQueueFull, core.ClaimVoid, 0, 0},
		{"service not reached", func(h *harness) { h.err = &service.UnsentError{} }, core.NotRun, core.RefusedTargetFailed, core.ClaimVoid, 1, core.Unused},
		{"service's answer lost", func(h *harness) { h.err = &service.AmbiguousError{Err: errors.ErrUnsupported} }, core.RunUnknown, core.RefusedOutcomeUnknown, core.ClaimUnknown, 1, core.Abandoned},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			c.set(h)
			got := h.call("k")
			if c.run == "" {
				require.NotNil(t, got.Answer)
			} else {
				require.Equal(t, c.kind, got.Refusal.Kind)
				require.Equal(t, c.run, got.Refusal.Run)
			}
			_, record, err := decodeRow(h.table.rows[rowKey(Job{Service: "booking", Key: "k"})])
			require.NoError(t, err)
			require.Equal(t, c.state, record.State)
			require.Equal(t, c.sent, h.sent.Load())
			if c.result != 0 {
				require.Equal(t, c.result, <-h.controller.closed)
			}
			require.Empty(t, h.controller.closed)
		})
	}
}

// A conflict fails only its own write; the other writes of the batch are committed.
func TestConflictDoesNotFailTheBatch(t *testing.T) {
	for _, omitKeys := range []bool{false, true} {
		t.Run(strconv.FormatBool(omitKeys), func(t *testing.T) {
			table := newMemoryTable(t)
			table.omitKeys = omitKeys
			table.rows["3"] = core.Row{Key: "3", Version: 7}
			b := newBatcher(table, clockwork.NewRealClock())
			done := make(chan error, 8)
			var batch []write
			for i := range 8 {
				batch = b.add(batch, write{condition: core.Condition{Key: strconv.Itoa(i)}, value: []byte{byte(i)}, done: done})
			}
			batch = b.add(batch, write{condition: core.Condition{Key: "5"}, done: done})
			require.Len(t, batch, 8)
			require.Len(t, b.takeDelayed(), 1, "a second write of a key waits for the next transaction")
			b.commit(batch)
			conflicts := 0
			for range 8 {
				if <-done != nil {
					conflicts++
				}
			}
			require.Equal(t, 1, conflicts)
			require.Equal(t, 7, table.writes)
		})
	}
}

// Concurrent calls share transactions; each call still gets its own outcome.
func TestCallsShareTransactions(t *testing.T) {
	const calls = 64
	h := newHarness(t)
	got := make(chan Result, calls)
	for i := range calls {
		go func() { got <- h.call(strconv.Itoa(i)) }()
	}
	for range calls {
		require.Equal(t, 201, (<-got).Answer.Status)
	}
	for range calls {
		require.Equal(t, core.Completed, <-h.controller.closed)
	}
}

// BenchmarkClaims reports the platform's transactions and row writes per call under 64
// concurrent callers per processor.
func BenchmarkClaims(b *testing.B) {
	t := &testing.T{}
	harness := newHarness(t)
	harness.controller.closed = make(chan core.Result, b.N+1)
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			harness.call(strconv.FormatInt(next.Add(1), 10))
		}
	})
	b.ReportMetric(float64(harness.table.commits)/float64(b.N), "transactions/call")
	b.ReportMetric(float64(harness.table.writes)/float64(b.N), "rows/call")
}
