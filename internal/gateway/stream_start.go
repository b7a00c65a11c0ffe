package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// startAttempt sends the request to an engine that has not been tried. If there is none it
// ends the request and returns false.
func (s *streamRelay) startAttempt() bool {
	assignment, ok := s.placeAttempt()
	if assignment.AtCapacity && s.ctx.Err() == nil {
		s.endUnsent(notRunRefusal(core.RefusedQueueFull, "all engines are crowded", retryAtCapacity))
		return false
	}
	if refusal := placementRefusal(assignment); refusal != nil && s.possibleRuns == 0 && s.ctx.Err() == nil {
		s.endUnsent(refusal)
		return false
	}
	if !ok {
		s.endUnsent(nil)
		return false
	}
	if refusal := s.promptRefusal(s.gateway.options.Controller.View()); refusal != nil {
		s.gateway.options.Controller.Release(assignment, placement.Inconclusive)
		s.endUnsent(refusal)
		return false
	}
	if refusal := s.shutdownRefusal(); refusal != nil {
		s.gateway.options.Controller.Release(assignment, placement.Inconclusive)
		s.endUnsent(refusal)
		return false
	}
	if s.resumptions == 0 {
		s.waited = s.now() - s.arrived
	}
	s.expectedCached = assignment.ExpectedCached
	s.tried = append(s.tried, assignment.Target.Target)
	s.failover = failover.New(s.timing(), s.canMove(), assignment.HasCopy(), s.now())
	s.failover.UseReruns(s.reruns)
	s.runEvents, s.notice, s.missingSince = 0, "", 0
	s.current = s.startUpstream(s.ctx, assignment, s.newAttempt(assignment, nil))
	return true
}

// placeAttempt chooses an engine that has not been tried. While all are at capacity it
// waits for a limited time.
func (s *streamRelay) placeAttempt() (edgecontrol.Assignment, bool) {
	if len(s.tried) >= maxTargets || s.attempts >= maxAttempts {
		return edgecontrol.Assignment{}, false
	}
	request := s.placementRequest(s.tried)
	request.WantsCopy = s.wantsCopy()
	request.Prefix = s.prefix()
	req := edgecontrol.PlacementRequest{Pool: s.pool, Route: s.route.ID, First: len(s.tried) == 0, Request: request, Retry: s.attempts > 0, MayWait: s.attempts == 0, Team: s.teamID(), Content: s.contentKey(), Priority: *s.priority()}
	for {
		req.TimeLeft, req.MaxWait = s.callerTimeLeft(), s.waitLeft(capacityWaitFraction)
		assignment, ok := s.gateway.options.Controller.Place(s.ctx, req)
		if !assignment.AtCapacity || !s.waitForCapacity() {
			return assignment, ok
		}
		req.First = false // it has been counted
	}
}

// waitForCapacity waits for one retry interval. It returns false if the first event would
// come too late, or the request has ended.
func (s *streamRelay) waitForCapacity() bool {
	if s.waitLeft(capacityWaitFraction) == 0 {
		return false
	}
	return waitFor(s.ctx, capacityRetryInterval)
}

func (s *streamRelay) timing() failover.Timing {
	return failover.Timing{
		SwitchAfter:          switchAfter,
		SwitchUnstartedAfter: switchUnstartedAfter,
		PrecopyDeadline:      precopyDeadline,
		StopAndCopyAfter:     stopAndCopyAfter,
		StopAndCopyDeadline:  stopAndCopyDeadline,
		FastPrecopy:          fastPrecopy,
		DestinationGrace:     destinationGrace,
		SilenceTimeout:       time.Duration(silenceFraction * float64(s.route.GapGoal)),
		BeginWindow:          s.beginWindow(),
	}
}

// beginWindow returns the time from the sending of a request within which an engine is expected to begin to run it.
func (s *streamRelay) beginWindow() time.Duration { return max(s.route.AnswerGoal, minBeginWindow) }

// canMove reports whether the pool's engines can move the KV cache of a generation.
func (s *streamRelay) canMove() bool {
	return s.spec != nil && s.spec.Engine != nil && s.spec.Engine.Moves
}

// wantsCopy reports whether a copy of the generation's KV cache should be kept at a second
// engine.
func (s *streamRelay) wantsCopy() bool {
	if s.spec == nil || s.spec.Engine == nil || !s.spec.Engine.Copies {
		return false
	}
	eventTokens := max(s.spec.Engine.EventTokens, 1)
	return s.request.ForecastTokens() >= core.Tokens(minCopyEvents*eventTokens)
}
