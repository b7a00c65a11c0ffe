package relay

import (
	"context"
	"fmt"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rerun"
)

// end tells the caller how the stream ended. A caller that could not take the last token
// has left and may resume.
func (s *session) end(effect rerun.Effect) {
	if s.gone {
		return
	}
	s.sink.End(StreamResult{Refusal: s.refusalFor(effect), Delivered: s.state.Delivered()})
}

// refusalFor returns the typed failure that the caller sees, or nil after a whole answer.
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
	if s.job.Resume != nil && !s.job.Rerunnable {
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

func runState(reached bool, delivered core.Sequence) core.RunState {
	if delivered > 0 {
		return core.Ran
	}
	if reached {
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

// settle closes an attempt's ticket, exactly once.
func (s *session) settle(a *attempt, result core.Result) {
	if a.settled {
		return
	}
	a.settled = true
	if a.ticketed {
		s.relay.options.Controller.Close(a.outcome(result))
	}
}

// stop gives up a connection and cancels its generation.
func (s *session) stop(effect rerun.Effect) {
	s.release(effect.Connection)
	if a := s.attemptOf(effect.Generation); a != nil {
		s.avoid = a.target
		s.cancel(a)
	}
}

// release ends one connection.
func (s *session) release(id rerun.ConnectionID) {
	for i, c := range s.connections {
		if c.id == id {
			c.cancel()
			s.connections = append(s.connections[:i], s.connections[i+1:]...)
			return
		}
	}
}

// cancel ends a generation at its engine on a goroutine of its own, then closes the ticket.
func (s *session) cancel(a *attempt) {
	if a.settled {
		return
	}
	a.settled = true
	s.active++
	options, inbox := s.relay.options, s.inbox
	go func() {
		defer func() { inbox <- arrival{kind: arrivalExited} }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		result := core.Cancelled
		if options.Engines.Cancel(ctx, a.address, a.generation) != nil {
			result = core.Abandoned
		}
		if a.ticketed {
			options.Controller.Close(a.outcome(result))
		}
	}()
}

// settleAll closes the tickets that are left at the end. A generation that the caller may
// still resume is left to its engine's resume window.
func (s *session) settleAll() {
	for _, a := range s.attempts {
		resumable := s.gone && s.job.Resumable && s.state.Delivered() > 0
		if resumable {
			s.settle(a, core.Abandoned)
			continue
		}
		s.cancel(a)
	}
}
