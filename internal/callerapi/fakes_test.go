package callerapi

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/relay"
	"siskintide.example/siskintide/internal/snapshot"
)

// fakeController grants every ticket request unless refusal is set. It counts the granted
// tickets and records the outcomes of the closed ones.
type fakeController struct {
	view     *snapshot.Snapshot
	leaving  atomic.Bool
	refusal  *core.Refusal
	granted  atomic.Int64
	closed   chan core.Outcome
	acquired chan struct{}
}

// testController is a Controller that newTestServer initialises.
type testController interface {
	controlapi.Controller
	prepare()
}

func (c *fakeController) prepare() {
	c.closed = make(chan core.Outcome, 64)
	c.acquired = make(chan struct{}, 64)
	if c.view == nil {
		c.view = testView()
	}
}

func (c *fakeController) Snapshot() *snapshot.Snapshot {
	view := *c.view
	view.Leaving = c.leaving.Load()
	return &view
}

func (c *fakeController) Acquire(_ context.Context, request core.TicketRequest) (controlapi.Grant, error) {
	if c.refusal != nil {
		return controlapi.Grant{}, c.refusal
	}
	c.granted.Add(1)
	c.acquired <- struct{}{}
	ticket := core.Ticket{Generation: request.Generation, Target: "t1", Address: "127.0.0.1:1", Incarnation: "i1"}
	return controlapi.Grant{Ticket: ticket, StartBefore: time.Now().Add(time.Hour)}, nil
}

func (c *fakeController) Close(outcome core.Outcome)                { c.closed <- outcome }
func (c *fakeController) Track(core.GenerationID, *atomic.Int64)    {}
func (c *fakeController) ReportFirstToken(core.GenerationID, int64) {}

// fakeEngines streams the given tokens. If hold is set, it waits for release before the
// last token.
type fakeEngines struct {
	tokens  []string
	hold    bool
	release chan struct{} // ends the hold
}

func (e *fakeEngines) Start(ctx context.Context, ticket core.Ticket, _ engine.Request) (relay.FrameReader, error) {
	return &fakeReader{ctx: ctx, engines: e, generation: ticket.Generation}, nil
}

func (e *fakeEngines) Resume(ctx context.Context, _ string, g core.GenerationID, after core.Sequence, _ core.Incarnation) (relay.FrameReader, error) {
	return &fakeReader{ctx: ctx, engines: e, generation: g, at: after}, nil
}

func (e *fakeEngines) Cancel(context.Context, string, core.GenerationID) error { return nil }

type fakeReader struct {
	ctx        context.Context
	engines    *fakeEngines
	generation core.GenerationID
	at         core.Sequence
}

func (r *fakeReader) Next() (engine.Frame, error) {
	total := core.Sequence(len(r.engines.tokens))
	if r.at == total {
		return engine.Frame{}, io.EOF
	}
	if r.engines.hold && r.at == total-1 {
		select {
		case <-r.engines.release:
		case <-r.ctx.Done():
			return engine.Frame{}, r.ctx.Err()
		}
	}
	frame := engine.Frame{Generation: r.generation, Sequence: r.at + 1, Text: r.engines.tokens[r.at]}
	r.at++
	if r.at == total {
		frame.FinishReason = "stop"
	}
	return frame, nil
}

func (r *fakeReader) Incarnation() core.Incarnation { return "i1" }
func (r *fakeReader) Close() error                  { return nil }

type noMetrics struct{}

func (noMetrics) QueueTime(core.TeamID, core.Class, time.Duration)  {}
func (noMetrics) FirstToken(core.TeamID, core.Class, time.Duration) {}
func (noMetrics) TokenGap(core.TeamID, core.Class, time.Duration)   {}
func (noMetrics) StallTime(core.TeamID, core.Class, time.Duration)  {}
func (noMetrics) Refused(core.TeamID, core.Class, core.RefusalKind) {}
