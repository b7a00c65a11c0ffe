package gateway

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
)

func formatID(id int64) string { return strconv.FormatInt(id, 10) }

// fromSource takes in what the current engine tells. It reports whether the request is over.
func (s *streamRelay) fromSource(told signal) bool {
	switch told.kind {
	case sourceOpened:
		return s.opened(told)
	case sourceEvent:
		return s.event(told.event)
	case sourceEnded:
		return s.ended()
	default:
		return s.failed(told.err)
	}
}

// opened takes in the header of the first engine's answer.
func (s *streamRelay) opened(told signal) bool {
	s.sends++
	if told.whole == nil {
		s.ran++
		s.sendHeader()
		return false
	}
	use := s.source.use
	s.source.stop()
	s.gateway.options.Controller.Release(use, s.outcome(told.whole, nil))
	if !told.meta.NotRun {
		s.ran++
		s.source = nil
		s.deliver(told.whole, use)
		return true
	}
	s.log.WithField("target", use.Target.Target).WithField("status", told.whole.status).Info("engine refused the request")
	s.source = nil
	return !s.begin()
}

func (s *streamRelay) sendHeader() {
	header := s.w.Header()
	for name, values := range s.source.header {
		header[name] = values
	}
	if s.gateway.options.Controller.View().Leaving {
		header.Set("Connection", "close")
	}
	s.w.WriteHeader(http.StatusOK)
	s.started = true
	s.flush()
}

func (s *streamRelay) flush() {
	if err := s.controller.Flush(); err != nil {
		s.log.WithError(err).Debug("caller's connection could not be flushed")
	}
}

// event passes one event on. Events that the caller has are dropped; after a gap the
// stream is broken off, since it would not be whole.
func (s *streamRelay) event(event streamEvent) bool {
	if event.hasID && s.hasLast {
		if event.id <= s.lastID {
			return false
		}
		if event.id != s.lastID+1 {
			return s.failed(&EventGapError{Last: s.lastID, Got: event.id})
		}
	}
	if _, err := s.w.Write(event.bytes); err != nil {
		s.expire()
		return true
	}
	s.flush()
	now := s.now()
	s.source.use = s.gateway.options.Controller.MarkStarted(s.source.use)
	if s.firstAt == 0 {
		s.firstAt = now
		s.gateway.options.Metrics.FirstToken(s.teamID(), s.class(), now-s.arrived)
	} else {
		s.gateway.options.Metrics.TokenGap(s.teamID(), s.class(), now-s.lastAt)
		if now-s.lastAt > s.worstGap {
			s.worstGap, s.worstAfter = now-s.lastAt, s.lastID
		}
	}
	s.lastAt = now
	if event.hasID {
		s.lastID, s.hasLast = event.id, true
	}
	s.machine.RecordEvent(now)
	return false
}

// ended finishes a whole stream.
func (s *streamRelay) ended() bool {
	s.gateway.options.Controller.Release(s.source.use, placement.Answered)
	target := s.source.use.Target.Target
	s.source = nil
	s.finish("answered", s.fields(log.Fields{"target": target}))
	return true
}

func (s *streamRelay) fields(fields log.Fields) log.Fields {
	fields["switches"] = s.switches
	fields["worst_gap_ms"] = s.worstGap.Milliseconds()
	fields["worst_gap_after"] = s.worstAfter
	fields["last_event"] = s.lastID
	fields["forecast_tokens"] = s.request.Output()
	if s.firstAt > 0 {
		fields["first_event_ms"] = (s.firstAt - s.arrived).Milliseconds()
	}
	return fields
}

// failed takes in that the current engine's exchange failed.
func (s *streamRelay) failed(cause error) bool {
	var unsent *UnsentError
	target := s.source.use.Target.Target
	s.log.WithField("target", target).WithField("cause", cause.Error()).WithField("last_event", s.lastID).
		Info("engine's stream failed")
	if errors.As(cause, &unsent) && !s.started && s.r.Context().Err() == nil {
		s.gateway.options.Controller.Release(s.source.use, placement.Unreachable)
		s.source = nil
		return !s.begin()
	}
	if !s.started && s.ran == 0 {
		s.sends++
		s.ran++
	}
	s.source.stop()
	s.machine.RecordDisconnect()
	return false
}

// fromNext takes in what the engine that is to take over tells.
func (s *streamRelay) fromNext(told signal) bool {
	switch {
	case told.kind == sourceOpened && told.whole == nil:
		s.gateway.options.Controller.Release(s.source.use, placement.Inconclusive)
		s.source.stop()
		s.source, s.next = s.next, nil
		s.switches++
		s.dropMove()
		s.movedFrom = nil
		s.machine.RecordSwitch(failover.Done, s.source.use.HasCopy(), s.now())
		if !s.started {
			s.sendHeader()
		}
		return false
	case told.kind == sourceOpened:
		s.dropNext(told.whole.NotRun, s.outcome(told.whole, nil), strconv.Itoa(told.whole.status))
	default:
		var unsent *UnsentError
		s.dropNext(errors.As(told.err, &unsent), placement.Unreachable, told.err.Error())
	}
	return false
}

// dropNext goes back to the former engine after a switch that failed.
func (s *streamRelay) dropNext(notRun bool, outcome placement.Outcome, cause string) {
	s.log.WithField("target", s.next.use.Target.Target).WithField("not_run", notRun).WithField("cause", cause).
		Warn("engine did not go on with the stream")
	s.gateway.options.Controller.Release(s.next.use, outcome)
	s.next.stop()
	s.next = nil
	result := failover.Unknown
	if notRun {
		result = failover.NotDone
	}
	s.machine.RecordSwitch(result, false, s.now())
}

// lose ends a request whose generation is lost.
func (s *streamRelay) lose() {
	target := s.source.use.Target.Target
	s.gateway.options.Controller.Release(s.source.use, placement.Unreachable)
	s.source = nil
	if !s.started {
		s.refuse(&core.Refusal{Kind: core.RefusedTargetFailed, Message: "the engine failed and no copy is left", Run: core.RunUnknown})
		return
	}
	s.finish("stream_lost", s.fields(log.Fields{"target": target}))
	s.stopAll()
	panic(http.ErrAbortHandler) // closes the connection, so that the stream does not look whole
}

// expire ends a request whose caller has left or whose time is over.
func (s *streamRelay) expire() {
	if s.r.Context().Err() != nil {
		s.finish("caller_left", s.fields(s.atTarget()))
		return
	}
	if !s.started {
		s.ran++ // the engine has not answered, but may have begun
		s.stopAll()
		s.endCall(s.ctx, nil)
		return
	}
	s.finish("timed_out", s.fields(s.atTarget()))
	s.stopAll()
	panic(http.ErrAbortHandler)
}

// atTarget names the engine that a stream was at.
func (s *streamRelay) atTarget() log.Fields {
	if s.source == nil {
		return log.Fields{}
	}
	return log.Fields{"target": s.source.use.Target.Target}
}

// stopAll ends the exchanges that are open.
func (s *streamRelay) stopAll() {
	select {
	case moved := <-s.moves:
		s.keep(moved.handle)
	default:
	}
	s.dropMove()
	for _, open := range []*source{s.source, s.next} {
		if open != nil {
			open.stop()
			s.gateway.options.Controller.Release(open.use, placement.Inconclusive)
		}
	}
	s.source, s.next = nil, nil
}
