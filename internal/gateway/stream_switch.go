package gateway

import (
	"context"
	"errors"

	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// placeSwitch assigns the engine that has the generation's KV cache, or will have it, to the request that goes on
// there. It returns nil if the retry budget does not cover that request.
func (s *streamRelay) placeSwitch(to placement.Candidate) *edgecontrol.Assignment {
	request := s.placementRequest(nil)
	request.Prompt = 0 // the KV cache is there
	request.WantsCopy = s.wantsCopy()
	assignment, ok := s.gateway.options.Controller.Place(s.ctx, edgecontrol.PlacementRequest{Pool: s.pool, Route: s.route.ID, Request: request, RunningOn: to.Target, Retry: !s.retryCovered, Team: s.teamID(), Priority: *s.priority()})
	if !ok {
		return nil
	}
	s.retryCovered = true
	assignment.Target = to // its registry entry may be gone
	return &assignment
}

// switchTo sends the request to the engine that has the generation's KV cache, with the assignment if it has been
// made already.
func (s *streamRelay) switchTo(to placement.Candidate, handle KVHandle, placed *edgecontrol.Assignment) {
	if placed == nil {
		placed = s.placeSwitch(to)
	}
	if placed == nil {
		s.failover.RecordSwitch(failover.NotDone, false, s.now())
		return
	}
	s.retryCovered = false
	assignment := *placed
	entry := s.log.WithField("from", s.current.assignment.Target.Target).WithField("to", to.Target).
		WithField("after_event", s.ids.last).WithField("connected", !s.current.stopped).WithField("copied", handle.ID == s.request.ID)
	if s.firstEventAt > 0 {
		entry = entry.WithField("silent_ms", (s.now() - s.lastEventAt).Milliseconds())
	}
	if s.notice != "" {
		entry = entry.WithField("notice", s.notice).WithField("notice_ms", (s.now() - s.noticeAt).Milliseconds())
	}
	entry.Info("stream goes on at another engine")
	s.returnTo(to.Target)
	s.next = s.startUpstream(s.ctx, assignment, s.newAttempt(assignment, &handle))
	s.overlapDeadline = s.now() + maxSwitchOverlap
}

// endOverlap ends one of two exchanges, since two engines must not work on one generation: that with the next engine if
// the current one is sound, and otherwise that with the current one, which has been silent since the switch began.
func (s *streamRelay) endOverlap() {
	sound := s.held != nil && s.held.kind != upstreamFailed
	if sound && s.canMove() && s.failover.MayRunOn() {
		s.abandonSwitch()
		return
	}
	s.log.WithField("from", s.current.assignment.Target.Target).WithField("to", s.next.assignment.Target.Target).
		WithField("last_event", s.ids.last).Info("engine's stream is closed before the next engine has responded")
	s.leaveCurrent()
	s.held = nil
	s.failover.RecordDisconnect()
	s.failover.RecordOpenRun()
}

// abandonSwitch returns to the current engine, which is sound, from an engine that has not responded in time.
func (s *streamRelay) abandonSwitch() {
	s.failSwitch(&ExchangeError{Address: s.next.assignment.Target.Address, Phase: phaseRequest, Cause: context.DeadlineExceeded})
}

// failSwitch returns to the former engine after the exchange with the next one has failed. That engine may have got the
// request, and is asked to stop it.
func (s *streamRelay) failSwitch(cause error) {
	var unsent *UnsentError
	s.failedSwitch, s.failedSwitchSentAt = s.next.assignment.Target, s.next.sentAt
	s.revertSwitch(errors.As(cause, &unsent), placement.Unreachable, cause.Error())
	if mayRunOn(cause) {
		s.failover.RecordOpenSwitch()
	}
}

// recordUnfinishedSwitch records that both engines may run the generation after the exchanges with them have been closed.
func (s *streamRelay) recordUnfinishedSwitch() {
	s.failedSwitch, s.failedSwitchSentAt = s.next.assignment.Target, s.next.sentAt
	s.failover.RecordOpenSwitch()
	if !s.current.stopped {
		s.failover.RecordOpenRun()
	}
}

// revertSwitch returns to the former engine after a failed switch.
func (s *streamRelay) revertSwitch(notRun bool, outcome placement.Outcome, cause string) {
	target := s.next.assignment.Target.Target
	s.log.WithField("target", target).WithField("not_run", notRun).WithField("cause", cause).
		Warn("engine did not go on with the stream")
	s.gateway.options.Controller.Release(s.next.assignment, outcome)
	s.next.stop()
	s.next = nil
	result := failover.Unknown
	if notRun {
		result = failover.NotDone
	} else {
		s.reruns.RecordRun()
		s.recordTried(target)
	}
	s.failover.RecordSwitch(result, false, s.now())
}
