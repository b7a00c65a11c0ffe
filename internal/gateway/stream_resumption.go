package gateway

import (
	"errors"
	"slices"
	"strconv"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// readLastEvent reads the id of the last event that the caller has of a stream that may be resumed. Other routes
// ignore it. Without a valid id it is not known which events the caller has, so that it could get some twice.
func (h *requestHandler) readLastEvent() *core.Refusal {
	if h.route.Kind != core.RouteStream || !h.route.Resumable || h.request.LastEventID == "" {
		return nil
	}
	id, err := strconv.ParseInt(h.request.LastEventID, 10, 64)
	if err != nil {
		h.gateway.options.Metrics.Resumed(h.teamID(), h.class(), string(resumedByCaller), string(resumptionInvalid))
		return notRunRefusal(core.RefusedBadRequest, (&LastEventError{ID: h.request.LastEventID}).Error(), 0)
	}
	h.lastEvent = &id
	return nil
}

// prepareResumption sets what is known about the stream's events and engines before the request is sent.
func (s *streamRelay) prepareResumption() {
	if !s.route.Resumable {
		return
	}
	s.reruns = failover.NewReruns(s.route.MaxAttempts)
	s.ids.expectStep(s.gateway.steps.largest(s.pool))
	if s.lastEvent != nil {
		s.ids.startAfter(*s.lastEvent)
		s.resumed = resumedByCaller
		s.log.WithField("after_event", *s.lastEvent).Info("caller resumes a stream")
	}
}

// recordSteps records the steps between the ids of the stream's events for streams that are resumed later.
func (s *streamRelay) recordSteps() {
	if s.route.Resumable {
		s.gateway.steps.record(s.pool, s.ids.ownStep)
	}
}

// recordRun records that an engine may have run the request.
func (s *streamRelay) recordRun() {
	s.possibleRuns++
	s.reruns.RecordRun()
}

// countSilentRun counts the current attempt, whose engine has not responded and may have run the request, unless it
// has been counted. It reports whether it was.
func (s *streamRelay) countSilentRun() bool {
	if s.current.counted {
		return false
	}
	s.current.counted = true
	s.attempts++
	s.recordRun()
	return true
}

// countResumption counts the outcome of a resumption that is open.
func (s *streamRelay) countResumption(outcome resumptionOutcome) {
	if s.resumed == notResumed {
		return
	}
	s.gateway.options.Metrics.Resumed(s.teamID(), s.class(), string(s.resumed), string(outcome))
	s.resumed = notResumed
}

// recordRepeated records an event that the caller has already, so that it is not passed on. It is progress of the
// generation, whose memory can be moved from its first event on.
func (s *streamRelay) recordRepeated(id int64) {
	if !s.route.Resumable {
		return
	}
	s.current.assignment = s.gateway.options.Controller.MarkStarted(s.current.assignment)
	s.ids.recordRepeated(id)
	s.countRunEvent()
	s.failover.RecordEvent(s.now())
}

// mayRepeat reports whether the caller may have an event without an id already, since the engine has been asked to
// go on with the stream and has sent no new event yet.
func (s *streamRelay) mayRepeat(event streamEvent) bool {
	return s.resumed != notResumed && s.ids.known && !event.hasID && !event.isComment
}

// checkCallersID forbids to send the request again after a failure that the caller's id may have caused: a gap, a run
// that ends too early, or events without ids. It would cause the same at another engine, at the expense of the retry
// budget. It shows nothing about the engine.
func (s *streamRelay) checkCallersID(cause error) {
	var gap *EventGapError
	var short *ShortRunError
	var unnumbered *UnnumberedEventError
	s.callersID = s.lastEvent != nil && s.events == 0 && (errors.As(cause, &gap) || errors.As(cause, &short) || errors.As(cause, &unnumbered))
	if s.callersID {
		s.reruns.Forbid()
	}
}

// lostOutcome returns the outcome of an attempt whose generation is lost.
func (s *streamRelay) lostOutcome() placement.Outcome {
	if s.callersID {
		return placement.Inconclusive
	}
	return placement.Unreachable
}

// handleFailureResponse handles the complete response of an engine that may have run the request and sent no stream.
// It reports whether the request is finished.
func (s *streamRelay) handleFailureResponse(response *bufferedResponse, assignment edgecontrol.Assignment) bool {
	unproven := s.isUnprovenRefusal(response)
	target := assignment.Target.Target
	if s.reruns.Allowed() && (response.failed() || unproven) {
		if !unproven {
			s.fallback = response
		}
		return s.rerun(target, "status "+strconv.Itoa(response.status))
	}
	s.countResumption(resumptionFailed)
	switch {
	case s.headerSent:
		s.abortLost(target)
	case unproven:
		s.finishFailed(s.ctx, s.fallback)
	default:
		s.writeResponse(response, assignment)
	}
	return true
}

// rerunLost stops the engine whose generation is lost, and sends the request again. It reports whether the request
// is finished.
func (s *streamRelay) rerunLost() bool {
	assignment := s.current.assignment
	s.countSilentRun()
	s.current.stopAndWait() // two engines must not work on one request
	s.gateway.options.Controller.Release(assignment, placement.Unreachable)
	s.releaseMove()
	s.releaseSwitch()
	s.current, s.moveExclusions = nil, nil
	return s.rerun(assignment.Target.Target, "stream failed")
}

// recordTried records that the request must not be sent to an engine again.
func (s *streamRelay) recordTried(target core.TargetID) {
	if !slices.Contains(s.tried, target) {
		s.tried = append(s.tried, target)
	}
}

// rerun sends the request to another engine, which goes on after the last event that the caller has. The former
// engine has been stopped. It reports whether the request is finished.
func (s *streamRelay) rerun(from core.TargetID, cause string) bool {
	s.countResumption(resumptionFailed)
	if s.ctx.Err() != nil {
		s.endEarly()
		return true
	}
	s.recordTried(from)
	s.reportPace()
	s.pace.endRun()
	entry := s.log.WithField("from", from).WithField("cause", cause).WithField("runs", s.possibleRuns).WithField("left_ms", s.timeLeft().Milliseconds())
	if s.ids.known {
		entry = entry.WithField("after_event", s.ids.last)
	}
	s.resumed = resumedByHost
	s.resumptions++
	s.ids.resume()
	if !s.startAttempt() {
		return true
	}
	entry.WithField("to", s.current.assignment.Target.Target).Info("request is sent again to another engine")
	return false
}

// endUnsent ends a request that is not sent to a further engine, with the refusal if no engine may have run it; nil
// for none.
func (s *streamRelay) endUnsent(refusal *core.Refusal) {
	if s.headerSent && s.ctx.Err() != nil {
		s.endEarly()
		return
	}
	s.countResumption(resumptionNotSent)
	switch {
	case s.possibleRuns == 0 && !s.headerSent && refusal != nil:
		s.refuse(refusal)
	case s.headerSent:
		if refusal != nil {
			s.log.WithField("cause", refusal.Message).Info("stream is not resumed")
		}
		s.abortLost(s.tried[len(s.tried)-1])
	default:
		s.finishFailed(s.ctx, s.fallback)
	}
}
