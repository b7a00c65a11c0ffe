package gateway

import (
	"context"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// streamRelay forwards one stream to its caller, from one engine after another. Only the
// goroutine that serves the request uses it.
type streamRelay struct {
	*requestHandler
	ctx                context.Context
	responseController *http.ResponseController
	failover           *failover.Stream
	reruns             *failover.Reruns  // nil if the stream may not be resumed
	resumed            resumption        // who has asked the current engine to go on; empty once it does
	resumptions        int               // of the stream by this host
	callersID          bool              // the caller's id may have caused the last failure
	runBeganAt         time.Duration     // of the first of runEvents
	runEvents          int               // events received since the prompt was last sent, including repeated ones
	fallback           *bufferedResponse // of an engine that failed, if no other answers; nil for none
	current            *upstream         // engine whose events are forwarded
	next               *upstream         // engine that takes over; nil while no switch is open
	overlapDeadline    time.Duration
	held               *upstreamMessage // of the current engine, received while the switch is open; nil for none
	notice             leaveNotice      // that the current engine leaves; empty for none
	noticeAt           time.Duration    // of that notice
	missingSince       time.Duration    // when the current engine's entry was found missing; zero if it is there
	reports            failover.ReportSchedule
	reportResults      chan reportResult
	moveResults        chan moveResult
	runStopResults     chan runStopResult
	failedSwitch       placement.Candidate     // engine that last failed to go on with the generation
	failedSwitchSentAt time.Duration           // when it was asked to
	left               []leftRun               // at engines that the stream has left
	moveAssignment     *edgecontrol.Assignment // reservation at the engine that the KV cache is moved to
	moveExclusions     []core.TargetID         // engines not to move to: the current one and those without capacity
	handle             KVHandle                // of the moved KV cache
	switchAssignment   *edgecontrol.Assignment // for the request at the destination of a pending stop-and-copy
	retryCovered       bool                    // the retry budget covers the next switch
	headerSent         bool                    // the response header has been sent to the caller
	waited             time.Duration           // from the request's arrival until an engine was assigned
	events             int                     // events of the generation that have been sent to the caller
	soundRecorded      bool                    // the prompt has been recorded as sound
	firstEventAt       time.Duration
	lastEventAt        time.Duration
	worstGap           time.Duration // longest time between two events
	worstGapAfter      int64         // id of the event before that gap
	ids                eventSequence
	pace               streamPace
	switches           int
	tried              []core.TargetID
}

// serveStream serves a request whose response is a stream of events.
func (h *requestHandler) serveStream() {
	ctx, cancel := h.requestContext()
	defer cancel()
	relay := &streamRelay{
		requestHandler:     h,
		ctx:                ctx,
		responseController: http.NewResponseController(h.w),
		moveResults:        make(chan moveResult, 1),
		runStopResults:     make(chan runStopResult, 1),
		reportResults:      make(chan reportResult, 1),
		pace:               streamPace{goal: h.gapGoal()},
	}
	relay.prepareResumption()
	defer relay.recordSteps()
	relay.run()
}

// run relays the stream until it has ended or failed.
func (s *streamRelay) run() {
	if !s.startAttempt() {
		return
	}
	defer func() { s.releaseAll() }()
	defer func() { s.reportPace() }()
	for {
		view := s.gateway.options.Controller.View()
		if done := s.applyNextStep(view); done {
			return
		}
		if done := s.awaitEvent(view); done {
			return
		}
	}
}

// newAttempt returns the attempt at the assigned engine, which resumes from the handle if
// there is one.
func (s *streamRelay) newAttempt(assignment edgecontrol.Assignment, from *KVHandle) Attempt {
	attempt := Attempt{Target: assignment.Target.Target, Priority: s.priority(), ResumeFrom: from}
	if assignment.HasCopy() {
		attempt.CopyTo = assignment.Copy.Address
	}
	if s.ids.known && (from != nil || s.route.Resumable) {
		attempt.LastEventID = formatID(s.ids.last)
	}
	return attempt
}

// applyNextStep passes the view's changes to the failover decision and carries out the step
// that it returns. It reports whether the request is finished.
func (s *streamRelay) applyNextStep(view *edgecontrol.View) bool {
	if hold := view.Hold(s.parts, s.now()); hold != nil && s.runEvents == 0 {
		s.withdraw(hold)
		return true
	}
	s.readEntry(view)
	if s.current.assignment.HasCopy() && !view.Usable(s.current.assignment.Copy.Target) {
		s.failover.RecordCopyLost()
	}
	if s.moveAssignment != nil && !view.Usable(s.moveAssignment.Target.Target) {
		s.failover.RecordDestinationLeaving(s.now())
	}
	switch step := s.failover.Next(s.now()); step.Kind {
	case failover.StopLostRun, failover.StopFailedSwitch:
		s.startRunStop(step.Kind)
	case failover.SwitchToCopy:
		copied := s.current.assignment.Copy
		s.switchTo(copied, s.takeCopyHandle(copied), nil)
	case failover.SwitchToMoved:
		handle := s.handle
		s.handle = KVHandle{} // a handle can be used only once
		placed := s.switchAssignment
		s.switchAssignment = nil
		s.switchTo(s.moveAssignment.Target, handle, placed)
	case failover.PrecopyMemory:
		s.startMove(false)
	case failover.StopAndCopyMemory:
		s.startMove(true)
	case failover.Rerun:
		return s.rerunLost()
	case failover.GiveUp:
		s.endLost()
		return true
	case failover.Finish:
		s.finish()
		return true
	case failover.Wait:
	}
	return false
}

// awaitEvent waits for a message, the end of a move, a new view, a timer or the end of the
// request, and handles it. It reports whether the request is finished.
func (s *streamRelay) awaitEvent(view *edgecontrol.View) bool {
	if s.next == nil && s.held != nil {
		message := *s.held
		s.held = nil
		return s.handleMessage(message)
	}
	var current, next chan upstreamMessage
	if s.next != nil {
		next = s.next.messages
	}
	if !s.current.stopped && s.held == nil {
		current = s.current.messages
	}
	registryAge, _ := view.RegistryProof.Age(s.now())
	s.requestReport(registryAge)
	timer := time.NewTimer(s.untilNextStep(registryAge))
	defer timer.Stop()
	select {
	case message := <-current:
		if s.next != nil {
			s.held = &message // events of both engines must not be mixed
			return false
		}
		return s.handleMessage(message)
	case message := <-next:
		return s.handleNextMessage(message)
	case moved := <-s.moveResults:
		s.handleMove(moved)
	case stop := <-s.runStopResults:
		s.handleRunStop(stop)
	case reported := <-s.reportResults:
		s.handleReport(reported)
	case <-view.Changed:
	case <-timer.C:
		if s.pace.overdue(s.now()) {
			s.reportPace()
		}
		if s.next != nil && s.now() >= s.overlapDeadline && !s.current.stopped {
			s.endOverlap()
		}
	case <-s.ctx.Done():
		s.endEarly()
		return true
	}
	return false
}

// untilNextStep returns the time until the failover decision, the overlap of an open switch, or
// the engine's next report is due.
func (s *streamRelay) untilNextStep(registryAge time.Duration) time.Duration {
	if s.next != nil {
		if remaining := s.overlapDeadline - s.now(); remaining > 0 {
			return remaining
		}
		return s.timeLeft()
	}
	left := s.timeLeft()
	for _, due := range []time.Duration{s.failover.Due(s.now()), s.reports.Due(s.now(), registryAge, s.missingSince > 0), s.pace.due()} {
		if due > 0 {
			left = min(left, max(due-s.now(), 0))
		}
	}
	return left
}
