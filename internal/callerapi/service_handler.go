package callerapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/claims"
	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/service"
)

const (
	// maxServiceAnswer bounds an answer, and so the memory for it.
	maxServiceAnswer = 16 << 20
	// maxServiceTries bounds the targets that one repeatable call is sent to.
	maxServiceTries = 3
	// headerReplayed marks an answer that was kept from an earlier call with the same key.
	headerReplayed = "Idempotent-Replayed"
)

// services passes a call on to a plain service.
func (f *Front) services(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	call, refusal := newServiceCall(w, r, from)
	if refusal != nil {
		return refusal
	}
	if call.unrepeatable && call.key != "" {
		f.callOnce(w, r, from, call)
		return nil
	}
	answer, refusal := f.callPlain(r.Context(), from, call)
	if refusal != nil {
		return refusal
	}
	writeAnswer(w, answer)
	return nil
}

// callOnce runs a call under its key. The caller is answered before the outcome is recorded.
func (f *Front) callOnce(w http.ResponseWriter, r *http.Request, from *caller, call serviceCall) {
	job := claims.Job{
		TicketRequest: call.demand(from),
		Service:       call.service.ID,
		Key:           call.key,
		BodyHash:      call.bodyHash(),
		Timeout:       call.timeout(),
		Retention:     time.Duration(call.service.KeepAnswerS) * time.Second,
		Send: func(ctx context.Context, address string) (claims.Answer, error) {
			return f.send(ctx, address, call)
		},
	}
	f.options.Claims.Do(r.Context(), job, func(result claims.Result) {
		if result.Refusal != nil {
			f.refuse(w, from, result.Refusal)
		} else {
			writeAnswer(w, *result.Answer)
		}
		_ = http.NewResponseController(w).Flush() // the caller may have left; the outcome is recorded all the same
	})
}

// callPlain sends a call without a claim. A call that may not be repeated gets one
// attempt. Others are sent again, under the retry budget, when the service was not
// reached, and those with a safe method also when the answer was lost.
func (f *Front) callPlain(ctx context.Context, from *caller, call serviceCall) (claims.Answer, *core.Refusal) {
	demand := call.demand(from)
	for try := 1; ; try++ {
		answer, target, err := f.callTarget(ctx, demand, call)
		var refusal *core.Refusal
		if err == nil {
			f.budget.Earn()
			return answer, nil
		}
		if errors.As(err, &refusal) {
			return claims.Answer{}, refusal
		}
		if try == maxServiceTries || !repeatable(call, err) || ctx.Err() != nil || !f.budget.Spend() {
			return claims.Answer{}, serviceRefusal(err)
		}
		demand.Avoid = target
	}
}

func repeatable(call serviceCall, err error) bool {
	var unsent *service.UnsentError
	return !call.unrepeatable && (safeMethod(call.method) || errors.As(err, &unsent))
}

func serviceRefusal(err error) *core.Refusal {
	var unsent *service.UnsentError
	if errors.As(err, &unsent) {
		return &core.Refusal{Kind: core.RefusedTargetFailed, Message: "the service could not be reached", Run: core.NotRun, RetryAfter: time.Second}
	}
	return &core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "the service's answer was lost; the request may have run", Run: core.RunUnknown}
}

// callTarget takes a ticket and sends the call once. A failure before the call may have
// been sent is a *core.Refusal or a *service.UnsentError.
func (f *Front) callTarget(ctx context.Context, demand core.TicketRequest, call serviceCall) (claims.Answer, core.TargetID, error) {
	demand.Generation = core.GenerationID(uuid.New())
	asked := f.options.Clock.Now()
	grant, err := f.options.Controller.Acquire(ctx, demand)
	if err != nil {
		return claims.Answer{}, "", asRefusal(err)
	}
	f.options.Metrics.QueueTime(demand.Team, demand.Class, f.options.Clock.Since(asked))
	outcome := core.Outcome{Generation: grant.Ticket.Generation, Target: grant.Ticket.Target, Result: core.Unused}
	defer func() { f.options.Controller.Close(outcome) }()
	answer, err := f.sendInTime(ctx, grant, call, &outcome)
	return answer, grant.Ticket.Target, err
}

// sendInTime sends the call if its ticket has not lapsed, and notes how that went.
func (f *Front) sendInTime(ctx context.Context, grant controlapi.Grant, call serviceCall, outcome *core.Outcome) (claims.Answer, error) {
	limited, cancel := context.WithTimeout(ctx, call.timeout())
	defer cancel()
	sentAt := f.options.Clock.Now()
	if !sentAt.Before(grant.StartBefore) {
		return claims.Answer{}, &core.Refusal{Kind: core.RefusedStaleTicket, Message: "the ticket lapsed before the call could be sent", Run: core.NotRun, RetryAfter: time.Second}
	}
	answer, err := f.send(limited, grant.Ticket.Address, call)
	var unsent *service.UnsentError
	switch {
	case err == nil:
		outcome.Result = core.Completed
		outcome.FirstTokenMS = f.options.Clock.Since(sentAt).Milliseconds()
	case !errors.As(err, &unsent):
		outcome.Result = core.Abandoned
	}
	return answer, err
}

func asRefusal(err error) *core.Refusal {
	var refusal *core.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &core.Refusal{Kind: core.RefusedNoCapacity, Message: err.Error(), Run: core.NotRun, RetryAfter: time.Second}
}

// send sends the call once and reads the whole answer. An answer that cannot be read
// whole counts as lost.
func (f *Front) send(ctx context.Context, address string, call serviceCall) (claims.Answer, error) {
	request, err := call.request(ctx, address)
	if err != nil {
		return claims.Answer{}, &service.UnsentError{Address: address, Err: err}
	}
	response, err := f.options.Services.Do(ctx, address, request)
	if err != nil {
		return claims.Answer{}, fmt.Errorf("call service: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read, or is lost anyway
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxServiceAnswer))
	if err != nil {
		return claims.Answer{}, &service.AmbiguousError{Address: address, Err: err}
	}
	return claims.Answer{Status: response.StatusCode, Header: forwardedHeader(response.Header), Body: body}, nil
}

// writeAnswer writes a service's answer. A failure means that the caller has left.
func writeAnswer(w http.ResponseWriter, answer claims.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
