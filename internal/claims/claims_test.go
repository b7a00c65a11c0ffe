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

// stubDesk grants tickets and keeps the results of their use.
type stubDesk struct {
	lapsed  bool
	refusal *core.Refusal
	closed  chan core.Result
}

func (d *stubDesk) Snapshot() *snapshot.Snapshot { return &snapshot.Snapshot{Self: core.Host{ID: "h"}} }
func (d *stubDesk) Acquire(_ context.Context, demand core.TicketRequest) (controlapi.Grant, error) {
	if d.refusal != nil {
		return controlapi.Grant{}, d.refusal
	}
	before := time.Now().Add(time.Hour)
	if d.lapsed {
		before = time.Now().Add(-time.Hour)
	}
	return controlapi.Grant{Ticket: core.Ticket{Generation: demand.Generation, Target: "t"}, StartBefore: before}, nil
}
func (d *stubDesk) Close(outcome core.Outcome)                { d.closed <- outcome.Result }
func (d *stubDesk) Track(core.GenerationID, *atomic.Int64)    {}
func (d *stubDesk) ReportFirstToken(core.GenerationID, int64) {}

// bench is an executor with its stand-ins.
type bench struct {
	table    *memoryTable
	desk     *stubDesk
	executor *Executor
	sent     atomic.Int64
	answer   Answer
	err      error
}

func newBench(t *testing.T) *bench {
	b := &bench{table: newMemoryTable(t), desk: &stubDesk{closed: make(chan core.Result, 256)}, answer: Answer{Status: 201, Body: []byte("booked")}}
	b.executor = New(Options{Table: b.table, Controller: b.desk, Clock: clockwork.NewRealClock(), Backoff: time.Microsecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); b.executor.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return b
}

func (b *bench) call(key string) (got Result) {
	job := Job{Service: "booking", Key: key, BodyHash: [16]byte{1}, Timeout: time.Second}
	job.Send = func(context.Context, string) (Answer, error) {
		b.sent.Add(1)
		return b.answer, b.err
	}
	b.executor.Do(context.Background(), job, func(r Result) { got = r })
	return got
}

func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for name, size := range map[string]int{"in the row": 10, "in an object": maxRowAnswer + 1} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.answer.Body = bytes.Repeat([]byte("x"), size)
			require.Equal(t, b.answer, *b.call("k").Answer)
			require.Equal(t, core.Completed, <-b.desk.closed)
			require.Equal(t, 2, b.table.writes, "platform writes of one call")
			want := b.answer
			want.Replayed = true
			require.Equal(t, want, *b.call("k").Answer)
			require.Equal(t, int64(1), b.sent.Load())
			require.Equal(t, 2, b.table.writes)
			require.Empty(t, b.desk.closed, "a repeat takes no ticket")
		})
	}
}

func TestFailures(t *testing.T) {
	lost := func(int) error { return &platform.AmbiguousError{Call: "commit"} }
	for _, c := range []struct {
		name   string
		set    func(*bench)
		run    core.RunState // empty: answered
		kind   core.RefusalKind
		state  core.ClaimState
		sent   int64
		result core.Result
	}{
		{"answers of all writes lost", func(b *bench) { b.table.fail = lost }, "", "", core.ClaimAnswered, 1, core.Completed},
		{"platform away", func(b *bench) { b.table.away = true }, core.RunUnknown, core.RefusedPlatformUnavailable, "", 0, 0},
		{"ticket lapsed", func(b *bench) { b.desk.lapsed = true }, core.NotRun, core.RefusedStaleTicket, core.ClaimVoid, 0, core.Unused},
		{"no ticket", func(b *bench) { b.desk.refusal = &core.Refusal{Kind: core.RefusedQueueFull, Run: core.NotRun} }, core.NotRun, core.RefusedQueueFull, core.ClaimVoid, 0, 0},
		{"service not reached", func(b *bench) { b.err = &service.UnsentError{} }, core.NotRun, core.RefusedTargetFailed, core.ClaimVoid, 1, core.Unused},
		{"service's answer lost", func(b *bench) { b.err = &service.AmbiguousError{Err: errors.ErrUnsupported} }, core.RunUnknown, core.RefusedOutcomeUnknown, core.ClaimUnknown, 1, core.Abandoned},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.set(b)
			got := b.call("k")
			if c.run == "" {
				require.NotNil(t, got.Answer)
			} else {
				require.Equal(t, c.kind, got.Refusal.Kind)
				require.Equal(t, c.run, got.Refusal.Run)
			}
			_, record, err := decodeRow(b.table.rows[rowKey(Job{Service: "booking", Key: "k"})])
			require.NoError(t, err)
			require.Equal(t, c.state, record.State)
			require.Equal(t, c.sent, b.sent.Load())
			if c.result != 0 {
				require.Equal(t, c.result, <-b.desk.closed)
			}
			require.Empty(t, b.desk.closed)
		})
	}
}

// A conflict takes only its own write out of the transaction.
func TestConflictDoesNotFailTheBatch(t *testing.T) {
	for _, nameNo := range []bool{false, true} {
		t.Run(strconv.FormatBool(nameNo), func(t *testing.T) {
			table := newMemoryTable(t)
			table.nameNo = nameNo
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

// Calls that come together share transactions; each key still gets its own outcome.
func TestCallsShareTransactions(t *testing.T) {
	const calls = 64
	b := newBench(t)
	got := make(chan Result, calls)
	for i := range calls {
		go func() { got <- b.call(strconv.Itoa(i)) }()
	}
	for range calls {
		require.Equal(t, 201, (<-got).Answer.Status)
	}
	for range calls {
		require.Equal(t, core.Completed, <-b.desk.closed)
	}
}

// BenchmarkClaims reports the platform's transactions per call when 64 callers call at once.
func BenchmarkClaims(b *testing.B) {
	t := &testing.T{}
	bench := newBench(t)
	bench.desk.closed = make(chan core.Result, b.N+1)
	var next atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			bench.call(strconv.FormatInt(next.Add(1), 10))
		}
	})
	b.ReportMetric(float64(bench.table.commits)/float64(b.N), "transactions/call")
	b.ReportMetric(float64(bench.table.writes)/float64(b.N), "rows/call")
}
