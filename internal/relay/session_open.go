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

// rerunPriority lets a caller who has part of an answer wait before no new request: its
// wait is a gap between two tokens.
const rerunPriority core.Priority = -1000

// open starts the generation on a target that a new ticket names.
func (s *session) open(work context.Context, id rerun.ConnectionID, rerunning bool) {
	demand := new(s.job.Demand)
	demand.Generation = core.GenerationID(uuid.New())
	demand.Avoid = s.avoid
	if s.state.Delivered() > 0 {
		demand.Priority = rerunPriority
	}
	relay, request, inbox := s.relay, s.job.Request, s.inbox
	s.spawn(work, id, core.GenerationID{}, func(ctx context.Context) FrameReader {
		return relay.start(ctx, id, demand, request, rerunning, inbox)
	})
}

// resume opens a new connection to a generation that a target runs already.
func (s *session) resume(work context.Context, effect rerun.Effect) {
	a := s.attemptOf(effect.Generation)
	for _, c := range s.connections {
		if c.generation == effect.Generation {
			s.release(c.id)
			break
		}
	}
	relay, inbox := s.relay, s.inbox
	s.spawn(work, effect.Connection, effect.Generation, func(ctx context.Context) FrameReader {
		return relay.reconnect(ctx, effect, a.address, a.incarnation, inbox)
	})
}

// spawn runs a connection's goroutine, which opens a stream and reads it. Its last report
// is arrivalExited.
func (s *session) spawn(work context.Context, id rerun.ConnectionID, generation core.GenerationID, open func(context.Context) FrameReader) {
	ctx, cancel := context.WithCancel(work)
	s.connections = append(s.connections, connection{id: id, generation: generation, cancel: cancel})
	s.active++
	inbox := s.inbox
	go func() {
		defer func() { inbox <- arrival{kind: arrivalExited, connection: id} }()
		defer cancel()
		if reader := open(ctx); reader != nil {
			read(id, reader, inbox)
		}
	}()
}

// start takes a ticket and sends the request. It returns the stream to be read, if any.
func (r *Relay) start(ctx context.Context, id rerun.ConnectionID, demand *core.TicketRequest, request engine.Request, rerunning bool, inbox chan<- arrival) FrameReader {
	if rerunning && !r.options.Budget.Spend() {
		inbox <- arrival{kind: arrivalRefused, connection: id, refusal: budgetSpent()}
		return nil
	}
	grant, refusal := r.acquire(ctx, *demand)
	if refusal != nil {
		inbox <- arrival{kind: arrivalRefused, connection: id, refusal: refusal}
		return nil
	}
	a := newAttempt(grant, r.options.Clock.Now())
	reader, err := r.options.Engines.Start(ctx, grant.Ticket, request)
	if result, refused := refusedStart(err); refused {
		r.options.Controller.Close(a.outcome(result))
		inbox <- arrival{kind: arrivalLost, connection: id, target: a.target}
		return nil
	}
	if err == nil {
		a.incarnation = reader.Incarnation()
	}
	r.options.Controller.Track(a.generation, &a.output)
	inbox <- arrival{kind: arrivalStarted, connection: id, attempt: a}
	if err != nil {
		inbox <- arrival{kind: arrivalBroken, connection: id}
		return nil
	}
	return reader
}

// acquire takes a ticket that may still be used. A ticket that lapsed on its way is closed unused.
func (r *Relay) acquire(ctx context.Context, demand core.TicketRequest) (controlapi.Grant, *core.Refusal) {
	asked := r.options.Clock.Now()
	waiting, cancel := context.WithTimeout(ctx, demand.QueueBudget+queueSlack)
	defer cancel()
	for range acquireTries {
		grant, err := r.options.Controller.Acquire(waiting, demand)
		if err != nil {
			return controlapi.Grant{}, asRefusal(err)
		}
		if ctx.Err() == nil && r.options.Clock.Now().Before(grant.StartBefore) {
			r.options.Metrics.QueueTime(demand.Team, demand.Class, r.options.Clock.Since(asked))
			return grant, nil
		}
		unused := core.Outcome{Generation: grant.Ticket.Generation, Target: grant.Ticket.Target, Result: core.Unused}
		r.options.Controller.Close(unused)
		demand.Generation = core.GenerationID(uuid.New())
	}
	return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedStaleTicket, Message: "the tickets lapsed before they could be used", Run: core.NotRun, RetryAfter: time.Second}
}

func asRefusal(err error) *core.Refusal {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &core.Refusal{Kind: core.RefusedNoCapacity, Message: err.Error(), Run: core.NotRun, RetryAfter: time.Second}
}

func budgetSpent() *core.Refusal {
	return &core.Refusal{Kind: core.RefusedTargetFailed, Message: "the host's retry budget is spent", Run: core.RunUnknown, RetryAfter: time.Second}
}

// refusedStart tells whether the target certainly does not run the generation, and with
// which result the ticket is closed.
func refusedStart(err error) (core.Result, bool) {
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

// reconnect waits for the backoff and opens the stream again.
func (r *Relay) reconnect(ctx context.Context, effect rerun.Effect, address string, incarnation core.Incarnation, inbox chan<- arrival) FrameReader {
	if !r.wait(ctx, effect.Wait) {
		return nil
	}
	reader, err := r.options.Engines.Resume(ctx, address, effect.Generation, effect.After, incarnation)
	if err == nil {
		return reader
	}
	kind := arrivalBroken
	if forgotten(err) {
		kind = arrivalLost
	}
	inbox <- arrival{kind: kind, connection: effect.Connection, reached: true}
	return nil
}

// wait waits for the backoff, lengthened at random by up to a half so that the streams of
// a host do not reconnect together. It reports false when the connection is given up.
func (r *Relay) wait(ctx context.Context, backoff time.Duration) bool {
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

// forgotten reports whether the engine certainly has no such stream any more.
func forgotten(err error) bool {
	var rejected *engine.RejectedError
	var restarted *engine.IncarnationError
	if errors.As(err, &restarted) {
		return true
	}
	return errors.As(err, &rejected) && rejected.Status == http.StatusNotFound
}

// read hands on frames until the connection ends. A clean end that follows no final frame
// counts as broken, and changes nothing after a final one.
func read(id rerun.ConnectionID, reader FrameReader, inbox chan<- arrival) {
	defer closeReader(reader)
	for {
		frame, err := reader.Next()
		if err != nil {
			inbox <- arrival{kind: arrivalBroken, connection: id}
			return
		}
		inbox <- arrival{kind: arrivalFrame, connection: id, frame: frame}
	}
}

func closeReader(reader io.Closer) {
	_ = reader.Close() // the stream is no longer read, so a failure changes nothing
}
