package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
)

func formatID(id int64) string { return strconv.FormatInt(id, 10) }

// handleMessage handles a message of the current engine. It reports whether the request is
// finished.
func (s *streamRelay) handleMessage(message upstreamMessage) bool {
	switch message.kind {
	case upstreamOpened:
		return s.handleOpened(message)
	case upstreamEvent:
		return s.forwardEvent(message.event)
	case upstreamEnded:
		return s.handleEnd(message.marked)
	default:
		return s.handleFailure(message.err)
	}
}

// handleOpened handles the header of the response of an engine that begins with the prompt.
func (s *streamRelay) handleOpened(message upstreamMessage) bool {
	s.attempts++
	s.current.counted = true
	s.recordTargetState(s.current.assignment.Target.Target, message.info, s.current.sentAt)
	if message.response == nil {
		s.recordRun()
		if !s.headerSent {
			s.sendHeader()
		}
		return false
	}
	s.responses = append(s.responses, message.response)
	assignment := s.current.assignment
	s.current.stop()
	s.gateway.options.Controller.Release(assignment, s.outcome(message.response, nil))
	if !message.info.NotRun {
		s.recordRun()
		s.current = nil
		return s.handleFailureResponse(message.response, assignment)
	}
	s.log.WithField("target", assignment.Target.Target).WithField("status", message.response.status).Info("engine refused the request")
	s.current = nil
	return !s.startAttempt()
}

// sendHeader sends the response header of the current engine to the caller.
func (s *streamRelay) sendHeader() {
	header := s.w.Header()
	for name, values := range s.current.header {
		header[name] = values
	}
	header.Del("Content-Length") // the stream may break off, or go on at an engine that sends other comments
	if s.gateway.options.Controller.View().Leaving() {
		header.Set("Connection", "close")
	}
	s.w.WriteHeader(http.StatusOK)
	s.headerSent = true
	s.fallback = nil // the responses of engines that failed before are not sent any more
	s.releaseResponses()
	s.flush()
}

func (s *streamRelay) flush() {
	if err := s.responseController.Flush(); err != nil {
		s.log.WithError(err).Debug("caller's connection could not be flushed")
	}
}

// forwardEvent sends one event to the caller. An event that the caller already has is
// dropped. If an engine that goes on with the stream has left events out, its stream counts as failed.
func (s *streamRelay) forwardEvent(event streamEvent) bool {
	switch {
	case event.hasID && s.ids.repeats(event.id):
		s.recordRepeated(event.id)
		return false
	case event.hasID && s.ids.skips(event.id):
		return s.handleFailure(&EventGapError{Last: s.ids.last, Got: event.id})
	case s.mayRepeat(event) && event.hasData:
		return s.handleFailure(&UnnumberedEventError{Last: s.ids.last})
	case s.mayRepeat(event):
		return false
	}
	if event.hasData && !event.hasID {
		s.reruns.Forbid() // no engine can be asked to go on after it
	}
	received := time.Duration(0)
	if s.pace.goal > 0 { // reading the clock costs weak hosts time
		received = s.now()
	}
	if _, err := s.w.Write(event.bytes); err != nil {
		s.endEarly()
		return true
	}
	s.flush()
	if event.isComment || s.ids.known && !event.hasID {
		return false // keeps the connection open, but is no progress of the generation
	}
	s.recordProgress(event, received)
	return false
}

// recordProgress records that an event of the generation, which was received at a time, has been sent to the caller.
func (s *streamRelay) recordProgress(event streamEvent, received time.Duration) {
	now := s.now()
	s.current.assignment = s.gateway.options.Controller.MarkStarted(s.current.assignment)
	if s.firstEventAt == 0 {
		s.firstEventAt = now
		s.gateway.options.Metrics.FirstToken(s.teamID(), s.class(), now-s.arrived)
	} else {
		s.gateway.options.Metrics.TokenGap(s.teamID(), s.class(), now-s.lastEventAt)
		if now-s.lastEventAt > s.worstGap {
			s.worstGap, s.worstGapAfter = now-s.lastEventAt, s.ids.last
		}
	}
	s.countRunEvent()
	s.countResumption(resumptionContinued)
	s.events++
	if !s.soundRecorded && now-s.runBeganAt >= soundTime {
		s.recordSound()
	}
	s.lastEventAt = now
	if s.pace.event(s.current.assignment.Target.Target, received, now) {
		s.reportPace()
	}
	if s.events == pacedEvents {
		s.current.assignment = s.gateway.options.Controller.MarkPaced(s.current.assignment, s.meanPause())
	}
	if event.hasID {
		s.ids.record(event.id)
	}
	s.failover.RecordEvent(now)
}

// reportPace passes on what was seen of the engine's pace.
func (s *streamRelay) reportPace() {
	if sums := s.pace.take(s.now()); sums.Events > 0 {
		s.gateway.options.Controller.RecordPace(s.pace.target, sums)
	}
}

// handleFailure handles a failed exchange with the current engine. If the engine was never
// reached, the request goes to another one.
func (s *streamRelay) handleFailure(cause error) bool {
	var unsent *UnsentError
	target := s.current.assignment.Target.Target
	entry := s.log.WithField("target", target).WithField("cause", cause.Error()).WithField("last_event", s.ids.last).WithField("events", s.events)
	var failed *ExchangeError
	if errors.As(cause, &failed) {
		entry = entry.WithField("phase", failed.Phase).WithField("target_gone", failed.Gone)
	}
	if s.recordCrash(target, cause) {
		entry = entry.WithField("prompt_parts", s.request.PromptParts)
	}
	entry.Info("engine's stream failed")
	if errors.As(cause, &unsent) && s.r.Context().Err() == nil {
		s.gateway.options.Controller.Release(s.current.assignment, placement.Unreachable)
		s.current = nil
		return !s.startAttempt()
	}
	if s.countSilentRun() {
		s.reruns.RecordSilentFailure()
	}
	s.checkCallersID(cause)
	s.current.stop()
	s.failover.RecordDisconnect()
	if mayRunOn(cause) {
		s.failover.RecordOpenRun()
	}
	s.current.unsound = failed == nil
	return false
}

// handleNextMessage handles a message of the engine that takes over.
func (s *streamRelay) handleNextMessage(message upstreamMessage) bool {
	if message.kind == upstreamOpened {
		s.recordTargetState(s.next.assignment.Target.Target, message.info, s.next.sentAt)
	}
	switch {
	case message.kind == upstreamOpened && message.response == nil:
		s.gateway.options.Controller.Release(s.current.assignment, placement.Inconclusive)
		s.leaveCurrent()
		s.countSilentRun()
		s.log.WithField("target", s.next.assignment.Target.Target).WithField("took_ms", (s.now() - s.next.sentAt).Milliseconds()).
			Info("engine has taken over the stream")
		s.current, s.next, s.held, s.notice, s.missingSince = s.next, nil, nil, "", 0
		s.current.counted = true
		s.reruns.RecordRun()
		s.ids.resume()
		s.switches++
		s.releaseMove()
		s.moveExclusions = nil
		s.failover.RecordSwitch(failover.Done, s.current.assignment.HasCopy(), s.now())
		if !s.headerSent {
			s.sendHeader()
		}
		return false
	case message.kind == upstreamOpened:
		s.responses = append(s.responses, message.response)
		s.revertSwitch(message.response.NotRun, s.outcome(message.response, nil), strconv.Itoa(message.response.status))
	default:
		s.recordCrash(s.next.assignment.Target.Target, message.err)
		s.failSwitch(message.err)
	}
	return false
}
