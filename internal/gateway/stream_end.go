package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/quarantine"
)

// handleEnd handles the end of the current engine's response. It reports whether the generation, and so the
// request, is finished.
func (s *streamRelay) handleEnd(marked bool) bool {
	if s.ids.behind() {
		return s.handleFailure(&ShortRunError{Last: s.ids.last, Got: s.ids.lastRepeated})
	}
	if s.failover.RecordEnd(marked) {
		s.finish()
		return true
	}
	s.log.WithField("target", s.current.assignment.Target.Target).WithField("last_event", s.ids.last).WithField("end_marked", marked).
		Info("engine's response ended after it was asked to stop the generation")
	return false
}

// finish ends the request after a complete stream.
func (s *streamRelay) finish() {
	s.stopOpenRuns()
	s.current.assignment.Pause = s.meanPause()
	s.gateway.options.Controller.Release(s.current.assignment, placement.Answered)
	s.countResumption(resumptionContinued)
	target := s.current.assignment.Target.Target
	if s.events > 0 && !s.soundRecorded {
		s.recordSound()
	}
	fields := s.fields(log.Fields{"target": target})
	s.current = nil
	s.recordEnd("answered", fields)
}

// endLost ends a request whose generation cannot be continued.
func (s *streamRelay) endLost() {
	s.stopOpenRuns()
	target := s.current.assignment.Target.Target
	s.current.assignment.Pause = s.meanPause()
	s.gateway.options.Controller.Release(s.current.assignment, s.lostOutcome())
	s.current = nil
	s.countResumption(resumptionFailed)
	if !s.headerSent {
		s.refuse(&core.Refusal{Kind: core.RefusedTargetFailed, Message: "the engine failed and no copy is left", Run: core.RunUnknown})
		return
	}
	s.abortLost(target)
}

// abortLost ends a request whose generation is lost after the head of its response has been sent. target is the engine
// that failed last. The caller may resume the stream.
func (s *streamRelay) abortLost(target core.TargetID) {
	s.recordEnd("stream_lost", s.fields(log.Fields{"target": target}))
	s.releaseAll()
	panic(http.ErrAbortHandler) // closes the connection, so that the stream does not look complete
}

// withdraw ends a request that no engine has begun to answer, because engines crash under its prompt.
func (s *streamRelay) withdraw(hold *quarantine.Hold) {
	fields := s.fields(s.targetFields())
	s.countResumption(resumptionEnded)
	s.releaseAll()
	if !s.headerSent {
		s.attempts++
		s.possibleRuns++ // the engine may be about to begin
		s.refuse(&core.Refusal{Kind: core.RefusedPromptHeld, Message: s.holdMessage(hold), Run: core.RunUnknown})
		return
	}
	s.recordEnd("prompt_held", fields)
	panic(http.ErrAbortHandler)
}

// endEarly ends a request whose caller has disconnected, whose deadline has passed, or that outlasts the host.
func (s *streamRelay) endEarly() {
	s.countResumption(resumptionEnded)
	if s.r.Context().Err() != nil {
		s.recordEnd("caller_left", s.fields(s.targetFields()))
		return
	}
	if !s.headerSent {
		s.possibleRuns++ // the engine has not responded, but may have started
		s.releaseAll()
		s.finishFailed(s.ctx, nil)
		return
	}
	outcome := "timed_out"
	if s.gateway.options.Stopping.Err() != nil {
		outcome = "host_stopped"
	}
	s.recordEnd(outcome, s.fields(s.targetFields()))
	s.releaseAll()
	panic(http.ErrAbortHandler)
}

// fields adds the stream's figures to the fields of a log entry.
func (s *streamRelay) fields(fields log.Fields) log.Fields {
	fields["waited_ms"] = s.waited.Milliseconds()
	fields["switches"] = s.switches
	if s.route.Resumable {
		fields["resumptions"] = s.resumptions
	}
	if s.lastEvent != nil {
		fields["callers_last_event"] = *s.lastEvent
	}
	fields["worst_gap_ms"] = s.worstGap.Milliseconds()
	fields["worst_gap_after"] = s.worstGapAfter
	fields["last_event"] = s.ids.last
	fields["forecast_tokens"] = s.request.ForecastTokens()
	if s.pace.goal > 0 {
		fields["late_pauses"] = s.pace.late
	}
	if s.current != nil && s.current.assignment.Target.Version != "" {
		fields["version"] = s.current.assignment.Target.Version
	}
	if s.firstEventAt > 0 {
		fields["first_event_ms"] = (s.firstEventAt - s.arrived).Milliseconds()
	}
	return fields
}

// targetFields returns a log field with the current engine, if there is one.
func (s *streamRelay) targetFields() log.Fields {
	if s.current == nil {
		return log.Fields{}
	}
	return log.Fields{"target": s.current.assignment.Target.Target}
}

// meanPause returns the mean pause between the events so far, or zero if there are fewer than two, or if the stream
// went on at another engine: the pause would be that of several engines, and of the time between them.
func (s *streamRelay) meanPause() time.Duration {
	if s.events < 2 || s.switches > 0 || s.resumptions > 0 {
		return 0
	}
	return (s.lastEventAt - s.firstEventAt) / time.Duration(s.events-1)
}

// releaseAll stops the open exchanges and releases all assignments and moved KV caches.
func (s *streamRelay) releaseAll() {
	select {
	case moved := <-s.moveResults:
		s.storeHandle(moved.handle)
	default:
	}
	select {
	case stop := <-s.runStopResults:
		if stop.result == failover.Done {
			go s.freeHandle(stop.at, stop.handle.ID)
		}
	default:
	}
	if s.next != nil {
		s.recordUnfinishedSwitch()
	}
	s.stopOpenRuns()
	s.releaseMove()
	s.releaseSwitch()
	for _, open := range []*upstream{s.current, s.next} {
		if open != nil {
			open.stop()
			open.assignment.Pause = s.meanPause()
			s.gateway.options.Controller.Release(open.assignment, placement.Inconclusive)
		}
	}
	s.current, s.next = nil, nil
}
