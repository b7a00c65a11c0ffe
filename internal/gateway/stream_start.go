package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// begin sends the request to a first engine. It answers the caller if there is none.
func (s *streamRelay) begin() bool {
	use, ok := s.placeFirst()
	if use.AtCapacity && s.ctx.Err() == nil {
		s.refuse(notRun(core.RefusedQueueFull, "all engines are crowded", retryCrowded))
		return false
	}
	if !ok {
		s.endCall(s.ctx, nil)
		return false
	}
	s.tried = append(s.tried, use.Target.Target)
	s.machine = failover.New(s.timing(), s.canMove(), use.HasCopy(), s.now())
	s.source = s.startSource(s.ctx, use, s.sendTo(use, nil))
	return true
}

// placeFirst chooses an engine that has not been tried.
func (s *streamRelay) placeFirst() (edgecontrol.Assignment, bool) {
	if len(s.tried) >= maxTries || s.sends >= maxSends {
		return edgecontrol.Assignment{}, false
	}
	need := s.need(s.tried)
	need.WantsCopy = s.wantsCopy()
	placing := edgecontrol.PlacementRequest{Pool: s.pool, Request: need, Retry: s.sends > 0, MayWait: s.sends == 0}
	for {
		use, ok := s.gateway.options.Controller.Place(s.ctx, placing)
		if !use.AtCapacity || !s.waitForRoom() {
			return use, ok
		}
	}
}

// waitForRoom waits a moment, unless the first event would come too late to be of use.
func (s *streamRelay) waitForRoom() bool {
	if s.now()-s.arrived > time.Duration(roomPart*float64(s.route.AnswerGoal)) {
		return false
	}
	timer := time.NewTimer(roomPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *streamRelay) timing() failover.Timing {
	return failover.Timing{
		SwitchAfter:          switchAfter,
		SwitchUnstartedAfter: startWithin,
		PrecopyDeadline:      aheadBy,
		StopAndCopyAfter:     moveAfter,
		StopAndCopyDeadline:  moveBy,
		FastPrecopy:          quickMove,
		SilenceTimeout:       time.Duration(silencePart * float64(s.route.GapGoal)),
	}
}

func (s *streamRelay) canMove() bool {
	return s.spec != nil && s.spec.Engine != nil && s.spec.Engine.Moves
}

// wantsCopy reports whether the rest of the generation is worth a copy.
func (s *streamRelay) wantsCopy() bool {
	if s.spec == nil || s.spec.Engine == nil || !s.spec.Engine.Copies {
		return false
	}
	eventTokens := max(s.spec.Engine.EventTokens, 1)
	return s.request.Output() >= core.Tokens(copyEvents*eventTokens)
}
