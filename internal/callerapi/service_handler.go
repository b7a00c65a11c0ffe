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
	// maxServiceResponseBytes limits the body of a response, which is held in memory.
	maxServiceResponseBytes = 16 << 20
	// maxServiceAttempts limits the attempts for one retryable call.
	maxServiceAttempts = 3
	// headerReplayed marks a response that was stored for an earlier call with the same
	// key.
	headerReplayed = "Idempotent-Replayed"
)

// callService forwards a call to a plain service.
func (h *Handler) callService(w http.ResponseWriter, r *http.Request, from *caller) *core.Refusal {
	call, refusal := newServiceCall(w, r, from)
	if refusal != nil {
		return refusal
	}
	if refusal := h.refuseIfLeaving(); refusal != nil {
		return refusal
	}
	if call.nonIdempotent && call.idempotencyKey != "" {
		h.callAtMostOnce(w, r, from, call)
		return nil
	}
	answer, refusal := h.callWithRetries(r.Context(), from, call)
	if refusal != nil {
		return refusal
	}
	writeResponse(w, answer)
	return nil
}

// callAtMostOnce executes a call with an idempotency key. The response is sent before the
// outcome is recorded.
func (h *Handler) callAtMostOnce(w http.ResponseWriter, r *http.Request, from *caller, call serviceCall) {
	job := claims.Job{
		TicketRequest: call.ticketRequest(from),
		Service:       call.service.ID,
		Key:           call.idempotencyKey,
		BodyHash:      call.bodyHash(),
		Timeout:       call.timeout(),
		Retention:     time.Duration(call.service.KeepAnswerS) * time.Second,
		Send: func(ctx context.Context, address string) (claims.Answer, error) {
			return h.send(ctx, address, call)
		},
	}
	h.options.Claims.Do(r.Context(), job, func(result claims.Result) {
		if result.Refusal != nil {
			h.refuse(w, from, result.Refusal)
		} else {
			writeResponse(w, *result.Answer)
		}
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected; the outcome is recorded anyway
	})
}

// callWithRetries sends a call without a claim. A non-idempotent call gets one attempt.
// Other calls are retried within the retry budget if the service was not reached. Calls
// with a safe method are also retried if the response was lost.
func (h *Handler) callWithRetries(ctx context.Context, from *caller, call serviceCall) (claims.Answer, *core.Refusal) {
	request := call.ticketRequest(from)
	for attempt := 1; ; attempt++ {
		answer, target, err := h.callTarget(ctx, request, call)
		var refusal *core.Refusal
		if err == nil {
			h.budget.RecordSuccess()
			return answer, nil
		}
		if errors.As(err, &refusal) {
			return claims.Answer{}, refusal
		}
		if attempt == maxServiceAttempts || !retryable(call, err) || ctx.Err() != nil || !h.budget.TrySpend() {
			return claims.Answer{}, serviceRefusal(err)
		}
		request.Avoid = target
	}
}

func retryable(call serviceCall, err error) bool {
	var unsent *service.UnsentError
	return !call.nonIdempotent && (safeMethod(call.method) || errors.As(err, &unsent))
}

func serviceRefusal(err error) *core.Refusal {
	var unsent *service.UnsentError
	if errors.As(err, &unsent) {
		return &core.Refusal{Kind: core.RefusedTargetFailed, Message: "the service could not be reached", Run: core.NotRun, RetryAfter: time.Second}
	}
	return &core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "the service's answer was lost; the request may have run", Run: core.RunUnknown}
}

// callTarget acquires a ticket and makes one attempt to send the call. If the call was
// certainly not sent, the error is a *core.Refusal or a *service.UnsentError.
func (h *Handler) callTarget(ctx context.Context, request core.TicketRequest, call serviceCall) (claims.Answer, core.TargetID, error) {
	request.Generation = core.GenerationID(uuid.New())
	queuedAt := h.options.Clock.Now()
	grant, err := h.options.Controller.Acquire(ctx, request)
	if err != nil {
		return claims.Answer{}, "", asRefusal(err)
	}
	h.options.Metrics.QueueTime(request.Team, request.Class, h.options.Clock.Since(queuedAt))
	outcome := core.Outcome{Generation: grant.Ticket.Generation, Target: grant.Ticket.Target, Result: core.Unused}
	defer func() { h.options.Controller.Close(outcome) }()
	answer, err := h.sendBeforeExpiry(ctx, grant, call, &outcome)
	return answer, grant.Ticket.Target, err
}

// sendBeforeExpiry sends the call unless its ticket has expired, and sets the outcome.
func (h *Handler) sendBeforeExpiry(ctx context.Context, grant controlapi.Grant, call serviceCall, outcome *core.Outcome) (claims.Answer, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, call.timeout())
	defer cancel()
	sentAt := h.options.Clock.Now()
	if !sentAt.Before(grant.StartBefore) {
		return claims.Answer{}, &core.Refusal{Kind: core.RefusedStaleTicket, Message: "the ticket lapsed before the call could be sent", Run: core.NotRun, RetryAfter: time.Second}
	}
	answer, err := h.send(timeoutCtx, grant.Ticket.Address, call)
	var unsent *service.UnsentError
	switch {
	case err == nil:
		outcome.Result = core.Completed
		outcome.FirstTokenMS = h.options.Clock.Since(sentAt).Milliseconds()
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

// send sends the call once and reads the complete response. A response that cannot be read
// completely counts as lost.
func (h *Handler) send(ctx context.Context, address string, call serviceCall) (claims.Answer, error) {
	request, err := call.request(ctx, address)
	if err != nil {
		return claims.Answer{}, &service.UnsentError{Address: address, Err: err}
	}
	response, err := h.options.Services.Do(ctx, address, request)
	if err != nil {
		return claims.Answer{}, fmt.Errorf("call service: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the response has been read, or counts as lost
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxServiceResponseBytes))
	if err != nil {
		return claims.Answer{}, &service.AmbiguousError{Address: address, Err: err}
	}
	return claims.Answer{Status: response.StatusCode, Header: forwardedHeader(response.Header), Body: body}, nil
}

// writeResponse writes the response of a service. A write error means that the caller has
// disconnected, and is ignored.
func writeResponse(w http.ResponseWriter, answer claims.Answer) {
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
