package relay

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
	"siskintide.example/siskintide/internal/engine"
)

// handleReport handles one report of a connection's goroutine.
func (s *session) handleReport(work context.Context, report *connectionReport) {
	event := rerun.Event{Connection: report.connection}
	switch report.kind {
	case reportExited:
		s.activeGoroutines--
		return
	case reportFrame:
		s.handleFrame(work, report)
		return
	case reportStarted:
		if !s.handleStarted(report) {
			return
		}
		event.Kind, event.Generation = rerun.EventStarted, report.attempt.generation
	case reportDisconnected:
		event.Kind = rerun.EventDisconnected
	case reportGenerationLost:
		event.Kind, event.MayHaveReached = rerun.EventGenerationLost, report.mayHaveReached
		s.handleGenerationLost(report)
	case reportRefused:
		event.Kind = rerun.EventRefused
		s.refusal = report.refusal
	}
	s.step(work, event, nil)
}

// handleStarted records a new attempt. If its connection has been closed meanwhile, it
// cancels the generation and returns false.
func (s *session) handleStarted(report *connectionReport) bool {
	s.attempts = append(s.attempts, report.attempt)
	for i := range s.connections {
		if s.connections[i].id == report.connection {
			s.connections[i].generation = report.attempt.generation
			return true
		}
	}
	s.cancelGeneration(report.attempt)
	return false
}

// handleGenerationLost closes the ticket of an attempt whose target has refused it, died or
// dropped it, and avoids the target from now on.
func (s *session) handleGenerationLost(report *connectionReport) {
	if report.target != "" {
		s.avoidTarget = report.target
		return
	}
	for _, c := range s.connections {
		if a := s.attemptOf(c.generation); c.id == report.connection && a != nil {
			s.avoidTarget = a.target
			s.closeTicket(a, core.Failed)
		}
	}
}

func (s *session) handleFrame(work context.Context, report *connectionReport) {
	frame := &report.frame
	s.recordProgress(frame)
	event := rerun.Event{
		Kind:       rerun.EventFrame,
		Connection: report.connection,
		Generation: frame.Generation,
		Sequence:   frame.Sequence,
		Digest:     tokenDigest(frame),
		Final:      frame.FinishReason != "",
	}
	s.step(work, event, frame)
}

// recordProgress counts a frame for the owner's forecast, whether or not it is delivered.
func (s *session) recordProgress(frame *engine.Frame) {
	a := s.attemptOf(frame.Generation)
	if a == nil || a.ticketClosed || int64(frame.Sequence) <= a.output.Load() {
		return
	}
	s.silentChecks = 0
	if !a.recordToken(frame.Sequence, s.eventTime) {
		return
	}
	s.relay.options.Controller.ReportFirstToken(a.generation, a.firstTokenMS)
}

// tokenDigest hashes the parts of a frame that the caller receives.
func tokenDigest(frame *engine.Frame) uint64 {
	digest := xxhash.Sum64String(frame.Text)
	if frame.FinishReason != "" {
		digest = rerun.ExtendDigest(digest, xxhash.Sum64String(frame.FinishReason))
	}
	return digest
}

// step passes one event to the rerun state and carries out the resulting effects.
func (s *session) step(work context.Context, event rerun.Event, frame *engine.Frame) {
	s.state, s.effects = s.state.Step(event, s.eventTime, s.effects[:0])
	for _, effect := range s.effects {
		switch effect.Kind {
		case rerun.EffectDeliver:
			s.deliver(frame)
		case rerun.EffectResume:
			s.resumeGeneration(work, effect)
		case rerun.EffectRerun:
			s.startGeneration(work, effect.Connection, true)
		case rerun.EffectStop:
			s.stopGeneration(effect)
		case rerun.EffectEnd:
			s.sendResult(effect)
		}
	}
}

// deliver sends a frame's token to the caller. After the last token it closes the ticket.
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
		s.callerLeft = true
	}
	if frame.FinishReason != "" {
		s.relay.options.Budget.RecordSuccess()
		s.closeTicket(a, core.Completed)
	}
	s.recordLatency()
}

// recordLatency records the time to the first token or the gap to the previous one.
func (s *session) recordLatency() {
	now, ticketRequest, metrics := s.eventTime, &s.request.TicketRequest, s.relay.options.Metrics
	if s.lastToken.IsZero() {
		metrics.FirstToken(ticketRequest.Team, ticketRequest.Class, now.Sub(s.startedAt))
	} else {
		gap := now.Sub(s.lastToken)
		metrics.TokenGap(ticketRequest.Team, ticketRequest.Class, gap)
		s.stallTime += max(0, gap-stallThreshold)
	}
	s.lastToken = now
}
