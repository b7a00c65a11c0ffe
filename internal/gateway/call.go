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
	// maxSends bounds the targets that a request is sent to, run or not.
	maxSends = 4
	// maxTries bounds the targets that are tried for one request, reached or not; after an
	// outage of the registry many that it names may be gone.
	maxTries = 12
	// patienceGoals is how many times the answer's goal a repeatable call waits for its
	// first target, if the time left allows it.
	patienceGoals = 2
	// answerMargin is the time before the deadline at which the caller gets its final
	// answer, so that it arrives in time.
	answerMargin = 15 * time.Millisecond
)

// call serves a call of a plain service.
func (j *job) call() {
	ctx, cancel := context.WithTimeout(j.r.Context(), j.left()-answerMargin)
	defer cancel()
	var avoid []core.TargetID
	var fallback *wholeAnswer
	for try := 0; try < maxTries && j.sends < maxSends && ctx.Err() == nil; try++ {
		use, ok := j.gateway.options.Controller.Place(ctx, edgecontrol.PlacementRequest{Pool: j.pool, Request: j.need(avoid), Retry: j.sends > 0})
		if !ok {
			break
		}
		avoid = append(avoid, use.Target.Target)
		answer, err := j.tryCall(ctx, use)
		if answer != nil && !answer.NotRun {
			if !answer.failed() || !j.mayRunAgain() {
				j.deliver(answer, use)
				return
			}
			fallback = answer
		}
		if err != nil && !j.mayRunAgain() && j.ran > 0 {
			break
		}
	}
	j.endCall(ctx, fallback)
}

// mayRunAgain reports whether the request may be sent to one more target that may run it.
func (j *job) mayRunAgain() bool {
	if j.ran == 0 {
		return true
	}
	return j.route.Kind == core.RouteIdempotent && j.ran < j.route.MaxAttempts
}

// tryCall sends the request to one target and reads the whole answer.
func (j *job) tryCall(ctx context.Context, use edgecontrol.Assignment) (*wholeAnswer, error) {
	if j.route.Kind == core.RouteIdempotent && j.ran+1 < j.route.MaxAttempts {
		patience := max(patienceGoals*j.route.AnswerGoal, j.left()/2)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, min(patience, j.left()*3/4))
		defer cancel()
	}
	address := use.Target.Address
	send := Attempt{Target: use.Target.Target, Priority: j.priority()}
	x, err := open(ctx, address, j.outgoing(ctx, address, send))
	answer, err := j.readCall(x, err)
	j.note(use, answer, err)
	return answer, err
}

func (j *job) readCall(x *exchange, err error) (*wholeAnswer, error) {
	if err != nil {
		return nil, err
	}
	defer x.close()
	meta := j.gateway.options.Codec.DecodeResponse(x.response.StatusCode, x.response.Header)
	if meta.RequestID != "" && meta.RequestID != j.request.ID {
		return nil, &ForeignAnswerError{Want: j.request.ID, Got: meta.RequestID}
	}
	return x.readWhole(meta)
}

// note counts a send and tells the control goroutine how it ended.
func (j *job) note(use edgecontrol.Assignment, answer *wholeAnswer, err error) {
	var unsent *UnsentError
	if !errors.As(err, &unsent) {
		j.sends++
		if answer == nil || !answer.NotRun {
			j.ran++
		}
	}
	outcome := j.outcome(answer, err)
	j.gateway.options.Controller.Release(use, outcome)
	if outcome == placement.Answered {
		return
	}
	entry := j.log.WithField("target", use.Target.Target).WithField("left_ms", j.left().Milliseconds())
	if answer != nil {
		entry = entry.WithField("status", answer.status).WithField("not_run", answer.NotRun)
	}
	if err != nil {
		entry = entry.WithField("cause", err.Error())
	}
	entry.Info("send failed")
}

func (j *job) outcome(answer *wholeAnswer, err error) placement.Outcome {
	switch {
	case err != nil && j.r.Context().Err() != nil:
		return placement.Inconclusive
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		return placement.Failed
	case err != nil:
		return placement.Unreachable
	case answer.Misdirected:
		return placement.Misdirected
	case answer.NotRun:
		return placement.Full
	case answer.failed():
		return placement.Failed
	default:
		return placement.Answered
	}
}

// deliver gives the caller a target's whole answer.
func (j *job) deliver(answer *wholeAnswer, use edgecontrol.Assignment) {
	header := j.w.Header()
	for name, values := range answer.header {
		header[name] = values
	}
	if j.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	if j.gateway.options.Controller.View().Leaving {
		header.Set("Connection", "close")
	}
	j.w.WriteHeader(answer.status)
	_, err := j.w.Write(answer.body)
	fields := log.Fields{"status": answer.status, "target": use.Target.Target}
	if err != nil {
		fields["cause"] = err.Error()
		j.finish("caller_lost", fields)
		return
	}
	j.finish("answered", fields)
}

// endCall gives the final answer when no target gave a good one.
func (j *job) endCall(ctx context.Context, fallback *wholeAnswer) {
	switch {
	case j.r.Context().Err() != nil:
		j.finish("caller_left", nil)
	case fallback != nil:
		j.deliver(fallback, edgecontrol.Assignment{})
	case j.ran == 0:
		j.refuse(notRun(core.RefusedNoCapacity, "no target took the request", retrySoon))
	case ctx.Err() != nil:
		j.refuse(&core.Refusal{Kind: core.RefusedOutcomeUnknown, Message: "no answer in time", Run: core.RunUnknown})
	default:
		j.refuse(&core.Refusal{Kind: core.RefusedTargetFailed, Message: "the target's answer was lost", Run: core.RunUnknown})
	}
}
