package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/snapshot"
)

// fastTimerClock is the real clock with timers that are 1000 times as fast.
type fastTimerClock struct{ clockwork.Clock }

func (c fastTimerClock) NewTimer(d time.Duration) clockwork.Timer { return c.Clock.NewTimer(d / 1000) }

// fastTickerClock also has tickers that are 100 times as fast, so that silence is detected
// soon.
type fastTickerClock struct{ fastTimerClock }

func (c fastTickerClock) NewTicker(d time.Duration) clockwork.Ticker {
	return c.Clock.NewTicker(d / 100)
}

// fakeController grants tickets for the targets t1, t2 and so on, and records the requests
// and outcomes.
type fakeController struct {
	granted  atomic.Int64
	requests chan core.TicketRequest
	closed   chan core.Outcome
	revoked  chan struct{} // of the first ticket
	limit    int64         // tickets to grant; zero: any number
	expired  bool          // tickets have expired when they arrive
}

func newFakeController() *fakeController {
	return &fakeController{requests: make(chan core.TicketRequest, 100), closed: make(chan core.Outcome, 100), revoked: make(chan struct{})}
}

func (c *fakeController) Snapshot() *snapshot.Snapshot { return nil }

func (c *fakeController) Acquire(_ context.Context, ticketRequest core.TicketRequest) (controlapi.Grant, error) {
	n := c.granted.Add(1)
	if c.limit > 0 && n > c.limit {
		c.granted.Add(-1)
		return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedNoCapacity, Run: core.NotRun}
	}
	c.requests <- ticketRequest
	name := core.TargetID(fmt.Sprintf("t%d", n))
	grant := controlapi.Grant{Ticket: core.Ticket{Generation: ticketRequest.Generation, Target: name, Address: string(name), Incarnation: "i"}, StartBefore: time.Now().Add(time.Hour)}
	if c.expired {
		grant.StartBefore = time.Now()
	}
	if n == 1 {
		grant.Revoked = c.revoked
	}
	return grant, nil
}

func (c *fakeController) Close(outcome core.Outcome)                { c.closed <- outcome }
func (c *fakeController) Track(core.GenerationID, *atomic.Int64)    {}
func (c *fakeController) ReportFirstToken(core.GenerationID, int64) {}

// results returns how the tickets of each target were closed.
func (c *fakeController) results() map[core.TargetID]core.Result {
	results := map[core.TargetID]core.Result{}
	for range len(c.closed) {
		outcome := <-c.closed
		results[outcome.Target] = outcome.Result
	}
	return results
}

// fault is the fault of one connection to an engine.
type fault struct {
	Open    string // unsent, overloaded, restarted, forgotten, lost; empty: none
	Frames  int    // frames before the connection breaks; zero: all
	Repeat  bool   // each frame comes twice
	Gap     int    // number of a frame that is left out; zero: none
	Crossed bool   // frames of another generation come in between
	Diverge int    // first token that differs; zero: none
	Hang    bool   // the connection stays silent instead of breaking
}

// faultyEngines applies the faults to its connections in turn; further connections have none.
type faultyEngines struct {
	length int
	faults []fault
	opened atomic.Int64
	texts  sync.Map      // first token that differs, by generation
	hold   chan struct{} // the first connection waits for it before its last frame
}

func (e *faultyEngines) open(ctx context.Context, g core.GenerationID, after core.Sequence, start bool) (FrameReader, error) {
	n := int(e.opened.Add(1))
	var f fault
	if n <= len(e.faults) {
		f = e.faults[n-1]
	}
	switch {
	case f.Open == "unsent":
		return nil, &engine.UnsentError{Err: io.EOF}
	case f.Open == "overloaded":
		return nil, &engine.RejectedError{Status: http.StatusServiceUnavailable}
	case f.Open == "restarted":
		return nil, &engine.IncarnationError{}
	case f.Open == "forgotten" && !start:
		return nil, &engine.RejectedError{Status: http.StatusNotFound}
	case f.Open == "lost":
		return nil, &engine.BrokenStreamError{Err: io.EOF}
	}
	diverge := f.Diverge
	if !start {
		diverge = 0
	}
	if known, ok := e.texts.LoadOrStore(g, diverge); ok {
		diverge = known.(int)
	}
	f.Diverge = diverge
	r := &faultyReader{ctx: ctx, fault: f, generation: g, at: int(after), length: e.length}
	if n == 1 {
		r.hold = e.hold
	}
	return r, nil
}

func (e *faultyEngines) Start(ctx context.Context, ticket core.Ticket, _ engine.Request) (FrameReader, error) {
	return e.open(ctx, ticket.Generation, 0, true)
}

func (e *faultyEngines) Resume(ctx context.Context, _ string, g core.GenerationID, after core.Sequence, _ core.Incarnation) (FrameReader, error) {
	return e.open(ctx, g, after, false)
}

func (e *faultyEngines) Cancel(context.Context, string, core.GenerationID) error { return nil }

// faultyReader returns the frames of one connection.
type faultyReader struct {
	ctx        context.Context
	fault      fault
	generation core.GenerationID
	at, sent   int
	length     int
	queue      []engine.Frame
	hold       chan struct{}
}

func (r *faultyReader) Next() (engine.Frame, error) {
	if r.ctx.Err() != nil {
		return engine.Frame{}, r.ctx.Err()
	}
	if len(r.queue) == 0 {
		if err := r.fill(); err != nil {
			return engine.Frame{}, err
		}
	}
	frame := r.queue[0]
	r.queue = r.queue[1:]
	return frame, nil
}

// fill queues the frames of the next token, including those that the fault adds.
func (r *faultyReader) fill() error {
	if r.at == r.length {
		return io.EOF
	}
	if r.fault.Hang && r.sent == r.fault.Frames {
		<-r.ctx.Done()
		return r.ctx.Err()
	}
	if r.fault.Frames > 0 && r.sent == r.fault.Frames {
		return &engine.BrokenStreamError{Err: errors.ErrUnsupported}
	}
	if r.hold != nil && r.at == r.length-1 {
		select {
		case <-r.hold:
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
	r.at++
	r.sent++
	if r.fault.Gap == r.at && r.at < r.length {
		r.at++
	}
	frame := engine.Frame{Generation: r.generation, Sequence: core.Sequence(r.at), Text: tokenText(r.at, r.fault.Diverge)}
	if r.at == r.length {
		frame.FinishReason = "stop"
	}
	r.queue = append(r.queue, frame)
	if r.fault.Repeat {
		r.queue = append(r.queue, frame)
	}
	if r.fault.Crossed {
		r.queue = append([]engine.Frame{{Generation: core.GenerationID{0xFF}, Sequence: frame.Sequence, Text: "crossed"}}, r.queue...)
	}
	return nil
}

func tokenText(n, diverge int) string {
	if diverge > 0 && n >= diverge {
		return fmt.Sprintf("other%d ", n)
	}
	return fmt.Sprintf("token%d ", n)
}

func (r *faultyReader) Incarnation() core.Incarnation { return "i" }
func (r *faultyReader) Close() error                  { return nil }

// collector is a Sink that records all tokens and the result.
type collector struct {
	tokens  []Token
	result  *StreamResult
	onToken func(n int)
	leaveAt int // number of the token that can no longer be written; zero: none
}

func (c *collector) Token(token Token) error {
	if c.leaveAt > 0 && len(c.tokens)+1 >= c.leaveAt {
		return io.ErrClosedPipe
	}
	c.tokens = append(c.tokens, token)
	if c.onToken != nil {
		c.onToken(len(c.tokens))
	}
	return nil
}
func (c *collector) KeepAlive() error        { return nil }
func (c *collector) End(result StreamResult) { c.result = &result }

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) QueueTime(core.TeamID, core.Class, time.Duration)  {}
func (noMetrics) FirstToken(core.TeamID, core.Class, time.Duration) {}
func (noMetrics) TokenGap(core.TeamID, core.Class, time.Duration)   {}
func (noMetrics) StallTime(core.TeamID, core.Class, time.Duration)  {}
