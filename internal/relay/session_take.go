package relay

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
	"siskintide.example/siskintide/internal/engine"
)

// take handles one report of a connection's goroutine.
func (s *session) take(work context.Context, got *arrival) {
	event := rerun.Event{Connection: got.connection}
	switch got.kind {
	case arrivalExited:
		s.active--
		return
	case arrivalFrame:
		s.takeFrame(work, got)
		return
	case arrivalStarted:
		if !s.started(got) {
			return
		}
		event.Kind, event.Generation = rerun.EventStarted, got.attempt.generation
	case arrivalBroken:
		event.Kind = rerun.EventDisconnected
	case arrivalLost:
		event.Kind, event.MayHaveReached = rerun.EventGenerationLost, got.reached
		s.lost(got)
	case arrivalRefused:
		event.Kind = rerun.EventRefused
		s.refusal = got.refusal
	}
	s.step(work, event, nil)
}

// started takes a new attempt. One whose connection has been given up meanwhile is cancelled.
func (s *session) started(got *arrival) bool {
	s.attempts = append(s.attempts, got.attempt)
	for i := range s.connections {
		if s.connections[i].id == got.connection {
			s.connections[i].generation = got.attempt.generation
			return true
		}
	}
	s.cancel(got.attempt)
	return false
}

// lost settles the attempt whose target has refused, died or forgotten it.
func (s *session) lost(got *arrival) {
	if got.target != "" {
		s.avoid = got.target
		return
	}
	for _, c := range s.connections {
		if a := s.attemptOf(c.generation); c.id == got.connection && a != nil {
			s.avoid = a.target
			s.settle(a, core.Failed)
		}
	}
}

func (s *session) takeFrame(work context.Context, got *arrival) {
	frame := &got.frame
	s.account(frame)
	event := rerun.Event{
		Kind:       rerun.EventFrame,
		Connection: got.connection,
		Generation: frame.Generation,
		Sequence:   frame.Sequence,
		Digest:     tokenDigest(frame),
		Final:      frame.FinishReason != "",
	}
	s.step(work, event, frame)
}

// account counts a frame for the owner's forecast, whether or not it is delivered.
func (s *session) account(frame *engine.Frame) {
	a := s.attemptOf(frame.Generation)
	if a == nil || a.settled || int64(frame.Sequence) <= a.output.Load() {
		return
	}
	s.silent = 0
	if !a.took(frame.Sequence, s.at) {
		return
	}
	s.relay.options.Controller.ReportFirstToken(a.generation, a.firstMS)
}

// tokenDigest hashes what the caller sees of a frame.
func tokenDigest(frame *engine.Frame) uint64 {
	digest := xxhash.Sum64String(frame.Text)
	if frame.FinishReason != "" {
		digest = rerun.ExtendDigest(digest, xxhash.Sum64String(frame.FinishReason))
	}
	return digest
}

// step lets the decisions take one event and carries out their effects.
func (s *session) step(work context.Context, event rerun.Event, frame *engine.Frame) {
	s.state, s.effects = s.state.Step(event, s.at, s.effects[:0])
	for _, effect := range s.effects {
		switch effect.Kind {
		case rerun.EffectDeliver:
			s.deliver(frame)
		case rerun.EffectResume:
			s.resume(work, effect)
		case rerun.EffectRerun:
			s.open(work, effect.Connection, true)
		case rerun.EffectStop:
			s.stop(effect)
		case rerun.EffectEnd:
			s.end(effect)
		}
	}
}

func (s *session) deliver(frame *engine.Frame) {
	a := s.attemptOf(frame.Generation)
	token := Token{
		Generation:   frame.Generation,
		Target:       a.target,
		Incarnation:  a.incarnation,
		Sequence:     frame.Sequence,
		Digest:       s.state.Digest(),
		Text:         frame.Text,
		FinishReason: frame.FinishReason,
	}
	if s.sink.Token(token) != nil {
		s.gone = true
	}
	if frame.FinishReason != "" {
		s.relay.options.Budget.Earn()
		s.settle(a, core.Completed)
	}
	s.measure()
}

// measure records the token's delay as the caller sees it.
func (s *session) measure() {
	now, demand, metrics := s.at, &s.job.Demand, s.relay.options.Metrics
	if s.lastToken.IsZero() {
		metrics.FirstToken(demand.Team, demand.Class, now.Sub(s.startedAt))
	} else {
		gap := now.Sub(s.lastToken)
		metrics.TokenGap(demand.Team, demand.Class, gap)
		s.stalled += max(0, gap-stallThreshold)
	}
	s.lastToken = now
}
