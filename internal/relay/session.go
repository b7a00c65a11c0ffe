package relay

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
)

// session is the state of one caller's stream. Only the goroutine that calls run uses it.
type session struct {
	relay            *Relay
	request          *StreamRequest
	sink             Sink
	inbox            chan connectionReport
	state            rerun.State
	effects          []rerun.Effect // reused by each step
	connections      []connection
	attempts         []*attempt
	activeGoroutines int           // goroutines that have not sent reportExited yet
	refusal          *core.Refusal // last refusal of a ticket
	avoidTarget      core.TargetID // target that failed last
	startedAt        time.Time
	eventTime        time.Time // time of the current report or check; the clock is read once for each
	lastToken        time.Time
	stallTime        time.Duration
	silentChecks     int  // checks since the last new token of any attempt
	callerLeft       bool // the caller has disconnected
}

func newSession(relay *Relay, request *StreamRequest, sink Sink) *session {
	return &session{relay: relay, request: request, sink: sink, inbox: make(chan connectionReport, inboxSize)}
}

// run serves the stream until it ends, then waits for the session's goroutines.
func (s *session) run(caller context.Context) {
	s.startedAt = s.now()
	s.eventTime = s.startedAt
	work, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	s.begin(work)
	s.loop(caller, work)
	s.closeTickets()
	s.drain(cancel)
	if s.stallTime > 0 {
		s.relay.options.Metrics.StallTime(s.request.TicketRequest.Team, s.request.TicketRequest.Class, s.stallTime)
	}
}

func (s *session) now() time.Time { return s.relay.options.Clock.Now() }

// begin starts a new generation or resumes the one that the request names.
func (s *session) begin(work context.Context) {
	limits := rerun.DefaultLimits()
	if !s.request.Rerunnable {
		limits.MaxReruns = 0
	}
	if s.request.Resume == nil {
		s.state = rerun.New(limits)
		s.startGeneration(work, 1, false)
		return
	}
	point := *s.request.Resume
	s.attempts = append(s.attempts, resumedAttempt(point))
	state, effect := rerun.NewResumed(limits, point.Generation, point.Sequence, point.Digest)
	s.state = state
	s.resumeGeneration(work, effect)
}

// loop handles reports, revocations and silence checks until the stream ends or the caller
// disconnects.
func (s *session) loop(caller, work context.Context) {
	ticker := s.relay.options.Clock.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for !s.state.Ended() && !s.callerLeft {
		select {
		case report := <-s.inbox:
			s.eventTime = s.now()
			s.handleReport(work, &report)
		case <-s.revoked():
			s.eventTime = s.now()
			s.handleRevocation(work)
		case <-ticker.Chan():
			s.eventTime = s.now()
			s.checkSilence(work)
		case <-caller.Done():
			s.callerLeft = true
		}
	}
}

// checkSilence counts a check without a new token, sends a keep-alive when one is due, and
// reports a stall.
func (s *session) checkSilence(work context.Context) {
	s.silentChecks++
	if s.silentChecks%keepAliveChecks == 0 && s.sink.KeepAlive() != nil {
		s.callerLeft = true
		return
	}
	limit := stallChecks
	if s.state.Delivered() == 0 {
		limit = firstTokenChecks
	}
	if s.silentChecks%limit == 0 {
		s.step(work, rerun.Event{Kind: rerun.EventStalled}, nil)
	}
}

// revoked returns the channel that is closed when the owner revokes the ticket of the newest
// attempt.
func (s *session) revoked() <-chan struct{} {
	if len(s.attempts) == 0 {
		return nil
	}
	newest := s.attempts[len(s.attempts)-1]
	return newest.grant.Revoked
}

// handleRevocation lets the newest attempt be rerun on another target.
func (s *session) handleRevocation(work context.Context) {
	newest := s.attempts[len(s.attempts)-1]
	newest.grant.Revoked = nil
	s.avoidTarget = newest.target
	s.step(work, rerun.Event{Kind: rerun.EventReclaim, Generation: newest.generation}, nil)
}

// drain waits until every goroutine of the session has ended. Connections that do not end
// by themselves within endMarkerWait are cancelled.
func (s *session) drain(cancel context.CancelFunc) {
	if s.callerLeft {
		cancel()
	}
	timer := s.relay.options.Clock.NewTimer(endMarkerWait)
	defer timer.Stop()
	for s.activeGoroutines > 0 {
		select {
		case report := <-s.inbox:
			s.handleLateReport(report)
		case <-timer.Chan():
			cancel()
		}
	}
}

// handleLateReport handles a report that arrives after the end of the stream.
func (s *session) handleLateReport(report connectionReport) {
	switch report.kind {
	case reportExited:
		s.activeGoroutines--
	case reportStarted:
		s.attempts = append(s.attempts, report.attempt)
		s.closeTickets()
	}
}
