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

// execution is the state of one call. It is used only by the caller's goroutine.
type execution struct {
	executor    *Executor
	job         Job
	key         string
	attempt     core.GenerationID
	reply       func(Result)
	body        rowBody // row that was read last
	grant       controlapi.Grant
	granted     bool            // the ticket has not been closed yet
	platformCtx context.Context // bounds the time spent on the platform
	cancel      context.CancelFunc
	answer      Answer
}

// run executes effects until none is left.
func (x *execution) run(ctx context.Context) {
	call, effect := claim.New(x.executor.options.Controller.Snapshot().Self.ID, x.attempt, x.job.BodyHash, x.job.Timeout+clockMargin)
	effects := []claim.Effect{effect}
	x.restartPlatformBudget(ctx)
	for len(effects) > 0 {
		effect, effects = effects[0], effects[1:]
		event, ok := x.perform(ctx, effect)
		if !ok {
			continue
		}
		if effect.Kind == claim.EffectSend || effect.Kind == claim.EffectAcquire {
			x.restartPlatformBudget(ctx)
		}
		x.backOff(event.Kind)
		var next []claim.Effect
		call, next = call.Step(event, x.executor.options.Clock.Now())
		effects = append(effects, next...)
	}
	x.cancel()
	x.closeTicket(core.Unused)
}

// restartPlatformBudget restarts the time that the call may spend on the platform.
func (x *execution) restartPlatformBudget(ctx context.Context) {
	if x.cancel != nil {
		x.cancel()
	}
	x.platformCtx, x.cancel = context.WithTimeout(ctx, platformBudget)
}

// perform executes one effect and returns the event that results from it, if any.
func (x *execution) perform(ctx context.Context, effect claim.Effect) (claim.Event, bool) {
	switch effect.Kind {
	case claim.EffectRead:
		x.pause(effect.Wait)
		event, body := x.executor.readRow(x.platformCtx, x.key)
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
		x.reply(x.replay(x.platformCtx))
	case claim.EffectRefuse:
		x.closeTicket(core.Unused)
		x.reply(Result{Refusal: effect.Refusal})
	}
	return claim.Event{}, false
}

// backOff waits after a failed platform call.
func (x *execution) backOff(kind claim.EventKind) {
	if kind != claim.EventReadFailed && kind != claim.EventWriteAmbiguous && kind != claim.EventNotApplied {
		return
	}
	x.pause(x.executor.options.Backoff)
}

// pause waits for d or until the platform budget is used up.
func (x *execution) pause(d time.Duration) {
	if d == 0 {
		return
	}
	timer := x.executor.options.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-x.platformCtx.Done():
	}
}

func (x *execution) acquire(ctx context.Context) claim.Event {
	request := x.job.TicketRequest
	request.Generation = x.attempt
	acquireCtx, cancel := context.WithTimeout(ctx, request.QueueBudget+queueSlack)
	defer cancel()
	grant, err := x.executor.options.Controller.Acquire(acquireCtx, request)
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

// write writes the row. The body of a long answer is put into the object store first.
func (x *execution) write(effect claim.Effect) claim.Event {
	body := newRowBody(effect.Record, x.job.Retention)
	if effect.Record.State == core.ClaimAnswered {
		x.storeAnswer(x.platformCtx, &body)
	}
	return x.executor.writeRow(x.platformCtx, x.key, effect.Version, body)
}

// send sends the call to the service, unless its ticket has expired.
func (x *execution) send(ctx context.Context) claim.Event {
	clock := x.executor.options.Clock
	sentAt := clock.Now()
	if !sentAt.Before(x.grant.StartBefore) {
		return unsent(core.RefusedStaleTicket, "the ticket lapsed before the call could be sent")
	}
	sendCtx, cancel := context.WithTimeout(ctx, x.job.Timeout)
	defer cancel()
	answer, err := x.job.Send(sendCtx, x.grant.Ticket.Address)
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

// closeTicket closes the ticket if there is one that is still open.
func (x *execution) closeTicket(result core.Result) {
	if !x.granted {
		return
	}
	x.granted = false
	x.executor.options.Controller.Close(core.Outcome{Generation: x.grant.Ticket.Generation, Target: x.grant.Ticket.Target, Result: result})
}
