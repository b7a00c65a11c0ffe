package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

const (
	// maxAttempts bounds the attempts that reach a target, whether or not the target runs
	// the request.
	maxAttempts = 4
	// maxTargets bounds the targets tried for one request, including those that cannot be
	// reached. After an outage of the registry, many of its entries may be out of date.
	maxTargets = 12
	// attemptTimeoutGoals is the timeout of an attempt that can be followed by another one,
	// as a multiple of the route's AnswerGoal. Half of the time left is used if it is longer,
	// and three quarters of the time left is the upper limit.
	attemptTimeoutGoals = 2
	// callWaitFraction is the part of the route's AnswerGoal for which a call waits for a permit of a
	// limited target. The target needs the rest.
	callWaitFraction = 0.25
	// responseMargin is how long before the deadline the gateway stops waiting for targets,
	// so that its own response reaches the caller in time.
	responseMargin = 15 * time.Millisecond
)

// serveCall serves a call to a plain service.
func (h *requestHandler) serveCall() {
	ctx, cancel := h.requestContext()
	defer cancel()
	var avoid []core.TargetID
	var fallback *bufferedResponse
	for try := 0; try < maxTargets && h.attempts < maxAttempts && ctx.Err() == nil; try++ {
		if refusal := h.promptRefusal(h.gateway.options.Controller.View()); refusal != nil {
			if h.possibleRuns > 0 {
				break
			}
			h.refuse(refusal)
			return
		}
		assignment, ok := h.gateway.options.Controller.Place(ctx, h.callPlacement(avoid))
		if refusal := placementRefusal(assignment); refusal != nil && h.possibleRuns == 0 && h.r.Context().Err() == nil {
			h.refuse(refusal)
			return
		}
		if !ok {
			break
		}
		if refusal := h.shutdownRefusal(); refusal != nil {
			h.gateway.options.Controller.Release(assignment, placement.Inconclusive)
			if h.possibleRuns > 0 {
				break
			}
			h.refuse(refusal)
			return
		}
		avoid = append(avoid, assignment.Target.Target)
		h.expectedCached = assignment.ExpectedCached
		response, err := h.attemptCall(ctx, assignment)
		if response != nil && h.isUnprovenRefusal(response) {
			break
		}
		if response != nil && !response.NotRun {
			if !response.failed() || !h.canRetry() {
				h.writeResponse(response, assignment)
				return
			}
			fallback = response
		}
		if err != nil && !h.canRetry() && h.possibleRuns > 0 {
			break
		}
	}
	h.finishFailed(ctx, fallback)
}

// callPlacement returns the request for a target other than those to avoid.
func (h *requestHandler) callPlacement(avoid []core.TargetID) edgecontrol.PlacementRequest {
	request := h.placementRequest(avoid)
	request.Prefix = h.prefix()
	return edgecontrol.PlacementRequest{
		Pool: h.pool, Route: h.route.ID, First: len(avoid) == 0, Request: request, Retry: h.attempts > 0,
		Team: h.teamID(), Content: h.contentKey(), Priority: *h.priority(), TimeLeft: h.callerTimeLeft(), MaxWait: h.waitLeft(callWaitFraction),
	}
}

// waitLeft returns what is left of the part of the route's AnswerGoal for which a request may wait for
// a target.
func (h *requestHandler) waitLeft(fraction float64) time.Duration {
	wait := time.Duration(fraction*float64(h.route.AnswerGoal)) - (h.now() - h.arrived)
	return max(min(wait, h.timeLeft()-responseMargin), 0)
}

// canRetry reports whether the request may be sent to another target.
func (h *requestHandler) canRetry() bool {
	if h.possibleRuns == 0 {
		return true
	}
	return h.route.Kind == core.RouteIdempotent && h.possibleRuns < h.route.MaxAttempts
}

// attemptCall sends the request to one target, reads the complete response and records
// the outcome.
func (h *requestHandler) attemptCall(ctx context.Context, assignment edgecontrol.Assignment) (*bufferedResponse, error) {
	if h.route.Kind == core.RouteIdempotent && h.possibleRuns+1 < h.route.MaxAttempts {
		attemptTimeout := max(attemptTimeoutGoals*h.route.AnswerGoal, h.timeLeft()/2)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(attemptTimeout, h.timeLeft()*3/4))
		defer cancel()
	}
	address := assignment.Target.Address
	attempt := Attempt{Target: assignment.Target.Target, Priority: h.priority()}
	sentAt := h.now()
	x, err := open(ctx, address, h.newAttemptRequest(ctx, address, attempt), h.gateway.options.Memory)
	response, err := h.readCallResponse(x, err)
	if len(h.parts) > 0 {
		probeTarget(ctx, err)
	}
	if response != nil {
		h.recordTargetState(attempt.Target, response.ResponseInfo, sentAt)
	}
	h.recordCallPrompt(ctx, attempt.Target, response, err)
	h.recordAttempt(assignment, response, err)
	return response, err
}

// readCallResponse reads the response of an exchange that open returned, and checks that it
// belongs to the request.
func (h *requestHandler) readCallResponse(x *exchange, err error) (*bufferedResponse, error) {
	if err != nil {
		return nil, err
	}
	defer x.close()
	info := h.gateway.options.Codec.DecodeResponse(x.response.StatusCode, x.response.Header)
	if err := h.checkOwner(x.response.StatusCode, info); err != nil {
		return nil, err
	}
	response, err := x.readResponse(info, &h.gateway.buffers)
	if err == nil {
		h.responses = append(h.responses, response)
	}
	return response, err
}

// recordAttempt counts an attempt, releases its assignment with the outcome, and logs a
// failure.
func (h *requestHandler) recordAttempt(assignment edgecontrol.Assignment, response *bufferedResponse, err error) {
	var unsent *UnsentError
	if !errors.As(err, &unsent) {
		h.attempts++
		if response == nil || !response.NotRun {
			h.possibleRuns++
		}
	}
	outcome := h.outcome(response, err)
	h.gateway.options.Controller.Release(assignment, outcome)
	if outcome == placement.Answered {
		return
	}
	entry := h.log.WithField("target", assignment.Target.Target).WithField("left_ms", h.timeLeft().Milliseconds())
	if response != nil {
		entry = entry.WithField("status", response.status).WithField("not_run", response.NotRun)
	}
	if err != nil {
		entry = entry.WithField("cause", err.Error())
	}
	entry.Info("send failed")
}

// outcome classifies the result of an attempt for the placement of later requests.
func (h *requestHandler) outcome(response *bufferedResponse, err error) placement.Outcome {
	switch {
	case err != nil && (h.r.Context().Err() != nil || h.gateway.options.Stopping.Err() != nil):
		return placement.Inconclusive
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return placement.Failed
	case err != nil:
		return placement.Unreachable
	case response.Misdirected:
		return placement.Misdirected
	case response.NotRun:
		return placement.Full
	case response.failed():
		return placement.Failed
	default:
		return placement.Answered
	}
}

// writeResponse sends a target's complete response to the caller.
func (h *requestHandler) writeResponse(response *bufferedResponse, assignment edgecontrol.Assignment) {
	header := h.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if h.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	if h.gateway.options.Controller.View().Leaving() {
		header.Set("Connection", "close")
	}
	h.allowLateWrite()
	h.w.WriteHeader(response.status)
	_, err := h.w.Write(response.body)
	fields := log.Fields{"status": response.status, "target": assignment.Target.Target}
	if v := assignment.Target.Version; v != "" {
		fields["version"] = v
	}
	if err != nil {
		fields["cause"] = err.Error()
		h.recordEnd("caller_lost", fields)
		return
	}
	h.recordEnd("answered", fields)
}

// finishFailed ends a request that no target answered successfully: with the failure
// response of a target if there is one, otherwise with a refusal.
func (h *requestHandler) finishFailed(ctx context.Context, fallback *bufferedResponse) {
	switch {
	case h.r.Context().Err() != nil:
		h.recordEnd("caller_left", nil)
	case fallback != nil:
		h.writeResponse(fallback, edgecontrol.Assignment{})
	case h.possibleRuns == 0 && h.gateway.options.Stopping.Err() != nil:
		h.refuse(leavingRefusal())
	case h.possibleRuns == 0:
		h.refuse(notRunRefusal(core.RefusedNoCapacity, "no target took the request", retrySoon))
	case ctx.Err() != nil:
		h.refuse(&core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "no answer in time", Run: core.RunUnknown})
	default:
		h.refuse(&core.Refusal{Kind: core.RefusedTargetFailed, Message: "the target's answer was lost", Run: core.RunUnknown})
	}
}
