package claims

import (
	"context"
	"errors"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/claim"
	"siskintide.example/siskintide/internal/service"
)

// execution is one call on its caller's goroutine.
type execution struct {
	executor *Executor
	job      Job
	key      string
	attempt  core.GenerationID
	reply    func(Result)
	body     rowBody // row read last
	grant    controlapi.Grant
	granted  bool            // the ticket is still to be closed
	budget   context.Context // bounds the platform's part
	stop     context.CancelFunc
	answer   Answer
}

// do carries out effects until none is left.
func (x *execution) do(ctx context.Context) {
	call, effect := claim.New(x.executor.options.Controller.Snapshot().Self.ID, x.attempt, x.job.BodyHash, x.job.Timeout+clockMargin)
	effects := []claim.Effect{effect}
	x.renewBudget(ctx)
	for len(effects) > 0 {
		effect, effects = effects[0], effects[1:]
		event, ok := x.perform(ctx, effect)
		if !ok {
			continue
		}
		if effect.Kind == claim.EffectSend || effect.Kind == claim.EffectAcquire {
			x.renewBudget(ctx)
		}
		x.backOff(event.Kind)
		var next []claim.Effect
		call, next = call.Step(event, x.executor.options.Clock.Now())
		effects = append(effects, next...)
	}
	x.stop()
	x.closeTicket(core.Unused)
}

// renewBudget gives the platform's part of the call its full time again.
func (x *execution) renewBudget(ctx context.Context) {
	if x.stop != nil {
		x.stop()
	}
	x.budget, x.stop = context.WithTimeout(ctx, platformBudget)
}

// perform carries out one effect and returns the event that it brings, if any.
func (x *execution) perform(ctx context.Context, effect claim.Effect) (claim.Event, bool) {
	switch effect.Kind {
	case claim.EffectRead:
		x.pause(effect.Wait)
		event, body := x.executor.readRow(x.budget, x.key)
		x.body = body
		return event, true
	case claim.EffectAcquire:
		return x.acquire(ctx), true
	case claim.EffectWrite:
		return x.write(effect), true
	case claim.EffectSend:
		return x.send(ctx), true
	case claim.EffectAnswer:
		x.reply(Result{Answer: &x.answer})
	case claim.EffectReplay:
		x.reply(x.replay(x.budget))
	case claim.EffectRefuse:
		x.closeTicket(core.Unused)
		x.reply(Result{Refusal: effect.Refusal})
	}
	return claim.Event{}, false
}

// backOff waits after a failure of the platform.
func (x *execution) backOff(kind claim.EventKind) {
	if kind != claim.EventReadFailed && kind != claim.EventWriteAmbiguous && kind != claim.EventNotApplied {
		return
	}
	x.pause(x.executor.options.Backoff)
}

// pause waits, but not longer than the platform's part of the call may take.
func (x *execution) pause(d time.Duration) {
	if d == 0 {
		return
	}
	timer := x.executor.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-x.budget.Done():
	}
}

func (x *execution) acquire(ctx context.Context) claim.Event {
	demand := x.job.Demand
	demand.Generation = x.attempt
	waiting, cancel := context.WithTimeout(ctx, demand.QueueBudget+queueSlack)
	defer cancel()
	grant, err := x.executor.options.Controller.Acquire(waiting, demand)
	if err == nil {
		x.grant, x.granted = grant, true
		return claim.Event{Kind: claim.EventGranted}
	}
	var refusal *core.Refusal
	if !errors.As(err, &refusal) {
		refusal = &core.Refusal{Kind: core.RefusedNoCapacity, Message: err.Error(), Run: core.NotRun, RetryAfter: time.Second}
	}
	return claim.Event{Kind: claim.EventRefused, Refusal: refusal}
}

// write writes the row. The body of a long answer goes to the object store first.
func (x *execution) write(effect claim.Effect) claim.Event {
	body := newRowBody(effect.Record, x.job.Retention)
	if effect.Record.State == core.ClaimAnswered {
		x.keepAnswer(x.budget, &body)
	}
	return x.executor.writeRow(x.budget, x.key, effect.Version, body)
}

// send sends the call, unless its ticket has lapsed.
func (x *execution) send(ctx context.Context) claim.Event {
	clock := x.executor.options.Clock
	sentAt := clock.Now()
	if !sentAt.Before(x.grant.StartBefore) {
		return unsent(core.RefusedStaleTicket, "the ticket lapsed before the call could be sent")
	}
	limited, cancel := context.WithTimeout(ctx, x.job.Timeout)
	defer cancel()
	answer, err := x.job.Send(limited, x.grant.Ticket.Address)
	if err == nil {
		x.answer = answer
		x.closeAnswered(clock.Since(sentAt))
		return claim.Event{Kind: claim.EventAnswered}
	}
	var notSent *service.UnsentError
	if errors.As(err, &notSent) {
		return unsent(core.RefusedTargetFailed, "the service could not be reached")
	}
	x.closeTicket(core.Abandoned)
	return claim.Event{Kind: claim.EventAmbiguous}
}

func unsent(kind core.RefusalKind, message string) claim.Event {
	refusal := &core.Refusal{Kind: kind, Message: message, Run: core.NotRun, RetryAfter: time.Second}
	return claim.Event{Kind: claim.EventUnsent, Refusal: refusal}
}

func (x *execution) closeAnswered(took time.Duration) {
	outcome := core.Outcome{Generation: x.attempt, Target: x.grant.Ticket.Target, Result: core.Completed, FirstTokenMS: took.Milliseconds()}
	x.granted = false
	x.executor.options.Controller.Close(outcome)
}

// closeTicket gives the ticket back, if there is one that was not given back yet.
func (x *execution) closeTicket(result core.Result) {
	if !x.granted {
		return
	}
	x.granted = false
	x.executor.options.Controller.Close(core.Outcome{Generation: x.grant.Ticket.Generation, Target: x.grant.Ticket.Target, Result: result})
}
