package relay

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
)

// session is one caller's stream. Its fields belong to the goroutine that calls run.
type session struct {
	relay       *Relay
	job         *StreamRequest
	sink        Sink
	inbox       chan arrival
	state       rerun.State
	effects     []rerun.Effect // reused by every step
	connections []connection
	attempts    []*attempt
	active      int           // goroutines that have not yet posted arrivalExited
	refusal     *core.Refusal // latest refusal of a ticket
	avoid       core.TargetID // target that failed last
	startedAt   time.Time
	at          time.Time // when the present report or check came; read once for each
	lastToken   time.Time
	stalled     time.Duration
	silent      int  // checks since the last new token from any target
	gone        bool // the caller has left
}

func newSession(relay *Relay, job *StreamRequest, sink Sink) *session {
	return &session{relay: relay, job: job, sink: sink, inbox: make(chan arrival, inboxFrames)}
}

// run drives the stream to its end and then waits for the session's goroutines.
func (s *session) run(caller context.Context) {
	s.startedAt = s.now()
	s.at = s.startedAt
	work, cancel := context.WithCancel(context.WithoutCancel(caller))
	defer cancel()
	s.begin(work)
	s.loop(caller, work)
	s.settleAll()
	s.drain(cancel)
	if s.stalled > 0 {
		s.relay.options.Metrics.StallTime(s.job.Demand.Team, s.job.Demand.Class, s.stalled)
	}
}

func (s *session) now() time.Time { return s.relay.options.Clock.Now() }

func (s *session) begin(work context.Context) {
	limits := rerun.DefaultLimits()
	if !s.job.Rerunnable {
		limits.MaxReruns = 0
	}
	if s.job.Resume == nil {
		s.state = rerun.New(limits)
		s.open(work, 1, false)
		return
	}
	position := *s.job.Resume
	s.attempts = append(s.attempts, resumedAttempt(position))
	state, effect := rerun.NewResumed(limits, position.Generation, position.Sequence, position.Digest)
	s.state = state
	s.resume(work, effect)
}

func (s *session) loop(caller, work context.Context) {
	ticker := s.relay.options.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for !s.state.Ended() && !s.gone {
		select {
		case got := <-s.inbox:
			s.at = s.now()
			s.take(work, &got)
		case <-s.revoked():
			s.at = s.now()
			s.reclaim(work)
		case <-ticker.Chan():
			s.at = s.now()
			s.check(work)
		case <-caller.Done():
			s.gone = true
		}
	}
}

// check looks after a stream that gets no tokens.
func (s *session) check(work context.Context) {
	s.silent++
	if s.silent%keepAliveChecks == 0 && s.sink.KeepAlive() != nil {
		s.gone = true
		return
	}
	limit := stallChecks
	if s.state.Delivered() == 0 {
		limit = firstTokenChecks
	}
	if s.silent%limit == 0 {
		s.step(work, rerun.Event{Kind: rerun.EventStalled}, nil)
	}
}

// revoked returns the channel on which the owner asks to move the newest attempt.
func (s *session) revoked() <-chan struct{} {
	if len(s.attempts) == 0 {
		return nil
	}
	newest := s.attempts[len(s.attempts)-1]
	return newest.grant.Revoked
}

func (s *session) reclaim(work context.Context) {
	newest := s.attempts[len(s.attempts)-1]
	newest.grant.Revoked = nil
	s.avoid = newest.target
	s.step(work, rerun.Event{Kind: rerun.EventReclaim, Generation: newest.generation}, nil)
}

// drain waits until every goroutine of the session has ended. Connections that do not end
// by themselves are cancelled.
func (s *session) drain(cancel context.CancelFunc) {
	if s.gone {
		cancel()
	}
	timer := s.relay.options.Clock.NewTimer(endMarkerWait)
	defer timer.Stop()
	for s.active > 0 {
		select {
		case got := <-s.inbox:
			s.discard(got)
		case <-timer.Chan():
			cancel()
		}
	}
}

// discard takes a report that came after the stream's end.
func (s *session) discard(got arrival) {
	switch got.kind {
	case arrivalExited:
		s.active--
	case arrivalStarted:
		s.attempts = append(s.attempts, got.attempt)
		s.settleAll()
	}
}
