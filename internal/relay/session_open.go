package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
	"siskintide.example/siskintide/internal/engine"
)

// rerunPriority puts reruns of a partly delivered answer before all new requests, because
// their wait is a gap between two tokens.
const rerunPriority core.Priority = -1000

// startGeneration opens a connection that acquires a ticket and starts the generation at
// the ticket's target.
func (s *session) startGeneration(work context.Context, id rerun.ConnectionID, rerunning bool) {
	ticketRequest := new(s.request.TicketRequest)
	ticketRequest.Generation = core.GenerationID(uuid.New())
	ticketRequest.Avoid = s.avoidTarget
	if s.state.Delivered() > 0 {
		ticketRequest.Priority = rerunPriority
	}
	relay, request, inbox := s.relay, s.request.Request, s.inbox
	s.startConnection(work, id, core.GenerationID{}, func(ctx context.Context) FrameReader {
		return relay.startStream(ctx, id, ticketRequest, request, rerunning, inbox)
	})
}

// resumeGeneration replaces the connection to a generation that a target already runs.
func (s *session) resumeGeneration(work context.Context, effect rerun.Effect) {
	a := s.attemptOf(effect.Generation)
	for _, c := range s.connections {
		if c.generation == effect.Generation {
			s.closeConnection(c.id)
			break
		}
	}
	relay, inbox := s.relay, s.inbox
	s.startConnection(work, effect.Connection, effect.Generation, func(ctx context.Context) FrameReader {
		return relay.resumeStream(ctx, effect, a.address, a.incarnation, inbox)
	})
}

// startConnection starts a connection's goroutine, which opens a stream and reads it. Its
// last report is reportExited.
func (s *session) startConnection(work context.Context, id rerun.ConnectionID, generation core.GenerationID, open func(context.Context) FrameReader) {
	ctx, cancel := context.WithCancel(work)
	s.connections = append(s.connections, connection{id: id, generation: generation, cancel: cancel})
	s.activeGoroutines++
	inbox := s.inbox
	go func() {
		defer func() { inbox <- connectionReport{kind: reportExited, connection: id} }()
		defer cancel()
		if reader := open(ctx); reader != nil {
			readFrames(id, reader, inbox)
		}
	}()
}

// startStream acquires a ticket and sends the request. It returns the stream to be read, or
// nil after a failure, which it reports.
func (r *Relay) startStream(ctx context.Context, id rerun.ConnectionID, ticketRequest *core.TicketRequest, request engine.Request, rerunning bool, inbox chan<- connectionReport) FrameReader {
	if rerunning && !r.options.Budget.TrySpend() {
		inbox <- connectionReport{kind: reportRefused, connection: id, refusal: retryBudgetExhausted()}
		return nil
	}
	grant, refusal := r.acquireTicket(ctx, *ticketRequest)
	if refusal != nil {
		inbox <- connectionReport{kind: reportRefused, connection: id, refusal: refusal}
		return nil
	}
	a := newAttempt(grant, r.options.Clock.Now())
	reader, err := r.options.Engines.Start(ctx, grant.Ticket, request)
	if result, refused := notRunResult(err); refused {
		r.options.Controller.Close(a.outcome(result))
		inbox <- connectionReport{kind: reportGenerationLost, connection: id, target: a.target}
		return nil
	}
	if err == nil {
		a.incarnation = reader.Incarnation()
	}
	r.options.Controller.Track(a.generation, &a.output)
	inbox <- connectionReport{kind: reportStarted, connection: id, attempt: a}
	if err != nil {
		inbox <- connectionReport{kind: reportDisconnected, connection: id}
		return nil
	}
	return reader
}

// acquireTicket acquires a ticket that can still be used. A ticket that has expired by the
// time it arrives is closed unused and another one is acquired.
func (r *Relay) acquireTicket(ctx context.Context, ticketRequest core.TicketRequest) (controlapi.Grant, *core.Refusal) {
	requestedAt := r.options.Clock.Now()
	acquireCtx, cancel := context.WithTimeout(ctx, ticketRequest.QueueBudget+queueSlack)
	defer cancel()
	for range maxAcquireAttempts {
		grant, err := r.options.Controller.Acquire(acquireCtx, ticketRequest)
		if err != nil {
			return controlapi.Grant{}, asRefusal(err)
		}
		if ctx.Err() == nil && r.options.Clock.Now().Before(grant.StartBefore) {
			r.options.Metrics.QueueTime(ticketRequest.Team, ticketRequest.Class, r.options.Clock.Since(requestedAt))
			return grant, nil
		}
		unused := core.Outcome{Generation: grant.Ticket.Generation, Target: grant.Ticket.Target, Result: core.Unused}
		r.options.Controller.Close(unused)
		ticketRequest.Generation = core.GenerationID(uuid.New())
	}
	return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedStaleTicket, Message: "the tickets lapsed before they could be used", Run: core.NotRun, RetryAfter: time.Second}
}

// asRefusal returns the refusal in an error of Controller.Acquire, or a refusal with the
// error's text.
func asRefusal(err error) *core.Refusal {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &core.Refusal{Kind: core.RefusedNoCapacity, Message: err.Error(), Run: core.NotRun, RetryAfter: time.Second}
}

func retryBudgetExhausted() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedTargetFailed, Message: "the host's retry budget is spent", Run: core.RunUnknown, RetryAfter: time.Second}
}

// notRunResult reports whether an error of Engines.Start means that the target does not
// run the generation, and returns the result with which the ticket is closed.
func notRunResult(err error) (core.Result, bool) {
	var unsent *engine.UnsentError
	var rejected *engine.RejectedError
	var restarted *engine.IncarnationError
	switch {
	case err == nil:
		return 0, false
	case errors.As(err, &unsent):
		return core.Unused, true
	case errors.As(err, &rejected), errors.As(err, &restarted):
		return core.Failed, true
	}
	return 0, false
}

// resumeStream waits for the backoff and resumes the stream. It returns nil if the context
// ends, or after a failure, which it reports.
func (r *Relay) resumeStream(ctx context.Context, effect rerun.Effect, address string, incarnation core.Incarnation, inbox chan<- connectionReport) FrameReader {
	if !r.waitBackoff(ctx, effect.Wait) {
		return nil
	}
	reader, err := r.options.Engines.Resume(ctx, address, effect.Generation, effect.After, incarnation)
	if err == nil {
		return reader
	}
	kind := reportDisconnected
	if streamUnknown(err) {
		kind = reportGenerationLost
	}
	inbox <- connectionReport{kind: kind, connection: effect.Connection, mayHaveReached: true}
	return nil
}

// waitBackoff waits for the backoff plus a random jitter of up to half of it, so that the
// streams of a host do not reconnect at the same time. It returns false if the context ends
// first.
func (r *Relay) waitBackoff(ctx context.Context, backoff time.Duration) bool {
	if backoff == 0 {
		return ctx.Err() == nil
	}
	timer := r.options.Clock.NewTimer(backoff + rand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// streamUnknown reports whether the engine no longer has the stream.
func streamUnknown(err error) bool {
	var rejected *engine.RejectedError
	var restarted *engine.IncarnationError
	if errors.As(err, &restarted) {
		return true
	}
	return errors.As(err, &rejected) && rejected.Status == http.StatusNotFound
}

// readFrames reports frames until the connection ends. Each end is reported as a
// disconnection; after the final frame the session ignores it.
func readFrames(id rerun.ConnectionID, reader FrameReader, inbox chan<- connectionReport) {
	defer closeReader(reader)
	for {
		frame, err := reader.Next()
		if err != nil {
			inbox <- connectionReport{kind: reportDisconnected, connection: id}
			return
		}
		inbox <- connectionReport{kind: reportFrame, connection: id, frame: frame}
	}
}

func closeReader(reader io.Closer) {
	_ = reader.Close() // the stream is no longer read, so a failure changes nothing
}
