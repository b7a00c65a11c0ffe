package relay

import (
	"context"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
)

// sendResult sends the result to the caller. A caller that could not be sent the last token
// has disconnected and may resume, so it gets no result.
func (s *session) sendResult(effect rerun.Effect) {
	if s.callerLeft {
		return
	}
	s.sink.End(StreamResult{Refusal: s.refusalFor(effect), Delivered: s.state.Delivered()})
}

// refusalFor returns the refusal that the caller gets, or nil after a complete answer.
func (s *session) refusalFor(effect rerun.Effect) *core.Refusal {
	delivered := s.state.Delivered()
	switch effect.Reason {
	case rerun.EndFinished:
		return nil
	case rerun.EndRefused:
		return s.refusal
	case rerun.EndDiverged:
		message := fmt.Sprintf("the answer ended after %d tokens: a rerun gave another text", delivered)
		return &core.Refusal{Kind: core.RefusedDiverged, Message: message, Run: core.Ran}
	}
	if s.request.Resume != nil && !s.request.Rerunnable {
		message := fmt.Sprintf("the target no longer has the stream; it ended after %d tokens", delivered)
		return &core.Refusal{Kind: core.RefusedStreamGone, Message: message, Run: core.Ran}
	}
	if delivered == 0 && s.refusal != nil {
		refusal := *s.refusal
		refusal.Run = runState(effect.MayHaveRun, delivered)
		return &refusal
	}
	message := fmt.Sprintf("no target could go on with the answer; it ended after %d tokens", delivered)
	return &core.Refusal{Kind: core.RefusedTargetFailed, Message: message, Run: runState(effect.MayHaveRun, delivered)}
}

// runState returns the run state of a refused request.
func runState(mayHaveRun bool, delivered core.Sequence) core.RunState {
	if delivered > 0 {
		return core.Ran
	}
	if mayHaveRun {
		return core.RunUnknown
	}
	return core.NotRun
}

func (s *session) attemptOf(generation core.GenerationID) *attempt {
	for _, a := range s.attempts {
		if a.generation == generation {
			return a
		}
	}
	return nil
}

// closeTicket closes an attempt's ticket unless it is closed already.
func (s *session) closeTicket(a *attempt, result core.Result) {
	if a.ticketClosed {
		return
	}
	a.ticketClosed = true
	if a.hasTicket {
		s.relay.options.Controller.Close(a.outcome(result))
	}
}

// stopGeneration closes a connection and cancels its generation.
func (s *session) stopGeneration(effect rerun.Effect) {
	s.closeConnection(effect.Connection)
	if a := s.attemptOf(effect.Generation); a != nil {
		s.avoidTarget = a.target
		s.cancelGeneration(a)
	}
}

// closeConnection ends one connection.
func (s *session) closeConnection(id rerun.ConnectionID) {
	for i, c := range s.connections {
		if c.id == id {
			c.cancel()
			s.connections = append(s.connections[:i], s.connections[i+1:]...)
			return
		}
	}
}

// cancelGeneration starts a goroutine that cancels a generation at its engine and then
// closes the ticket.
func (s *session) cancelGeneration(a *attempt) {
	if a.ticketClosed {
		return
	}
	a.ticketClosed = true
	s.activeGoroutines++
	options, inbox := s.relay.options, s.inbox
	go func() {
		defer func() { inbox <- connectionReport{kind: reportExited} }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		result := core.Cancelled
		if options.Engines.Cancel(ctx, a.address, a.generation) != nil {
			result = core.Abandoned
		}
		if a.hasTicket {
			options.Controller.Close(a.outcome(result))
		}
	}()
}

// closeTickets closes the remaining tickets at the end of the session. A generation that
// the caller may still resume is not cancelled; its engine does that after the resume
// window.
func (s *session) closeTickets() {
	for _, a := range s.attempts {
		resumable := s.callerLeft && s.request.Resumable && s.state.Delivered() > 0
		if resumable {
			s.closeTicket(a, core.Abandoned)
			continue
		}
		s.cancelGeneration(a)
	}
}
