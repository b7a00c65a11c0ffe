package gateway

import (
	"context"
	"errors"
	"slices"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// startMove starts a goroutine that copies the generation's KV cache to another engine. It
// chooses the engine first unless a pre-copy has been made. A host that is about to stop moves nothing.
func (s *streamRelay) startMove(final bool) {
	allowed := s.gateway.options.Controller.View().Shutdown.AllowsMove(s.now())
	if !allowed || !s.failover.Precopied() && !s.chooseMoveTarget() {
		s.failover.RecordMove(failover.NotDone, 0, s.now())
		return
	}
	if final && !s.coverSwitch() {
		s.failover.RecordUncovered(s.now())
		return
	}
	from, to, id := s.current.assignment.Target.Address, s.moveAssignment.Target.Address, s.request.ID
	streamCtx, moveResults := s.ctx, s.moveResults
	ctx := context.WithoutCancel(streamCtx) // the engine does not abort a copy when the call is cancelled
	entry := s.log.WithField("from", s.current.assignment.Target.Target).WithField("to", s.moveAssignment.Target.Target).WithField("final", final)
	entry.Info("generation's memory moves")
	startedAt, clock := s.now(), s.gateway.options.Clock
	go func() {
		handle, err := s.gateway.options.Mover.Move(ctx, from, id, to, final)
		result := moveOutcome(err)
		if err != nil {
			entry.WithError(err).Info("move failed")
		} else {
			entry.WithField("took_ms", (clock() - startedAt).Milliseconds()).Info("generation's memory has moved")
		}
		if streamCtx.Err() != nil && err == nil {
			s.freeHandle(to, handle.ID)
			return
		}
		moveResults <- moveResult{result: result, handle: handle, took: clock() - startedAt}
	}()
}

// moveOutcome returns the result of a move for the failover decision.
func moveOutcome(err error) failover.Result {
	var refused *MoveRefusedError
	switch {
	case err == nil:
		return failover.Done
	case !errors.As(err, &refused):
		return failover.Unknown
	case refused.Stopped:
		return failover.StoppedOnly
	default:
		return failover.NotDone
	}
}

// coverSwitch assigns the destination of the move to the request that will go on there, before the generation is
// stopped for it. It returns false if the retry budget does not cover that request.
func (s *streamRelay) coverSwitch() bool {
	s.releaseSwitch()
	s.switchAssignment = s.placeSwitch(s.moveAssignment.Target)
	return s.switchAssignment != nil
}

// releaseSwitch releases the assignment of a request that was not sent.
func (s *streamRelay) releaseSwitch() {
	if s.switchAssignment == nil {
		return
	}
	s.gateway.options.Controller.Release(*s.switchAssignment, placement.Inconclusive)
	s.switchAssignment = nil
}

// handleMove records the result of a move.
func (s *streamRelay) handleMove(moved moveResult) {
	s.storeHandle(moved.handle)
	if moved.result != failover.Done {
		s.releaseSwitch()
	}
	s.failover.RecordMove(moved.result, moved.took, s.now())
}

// chooseMoveTarget chooses the engine that the generation moves to and reserves capacity
// there. It returns false if there is none.
func (s *streamRelay) chooseMoveTarget() bool {
	s.moveExclusions = append(s.moveExclusions, s.current.assignment.Target.Target)
	if s.moveAssignment != nil {
		s.moveExclusions = append(s.moveExclusions, s.moveAssignment.Target.Target)
	}
	s.releaseMove()
	if len(s.moveExclusions) > maxMoveExclusions {
		s.moveExclusions = []core.TargetID{s.current.assignment.Target.Target} // the others may have capacity by now
	}
	request := s.placementRequest(append(slices.Clone(s.moveExclusions), s.leftTargets()...))
	// Moves to an engine share its link as prompts share its processor, so the size of the
	// KV cache counts as prompt tokens that are not processed yet.
	request.Prompt, request.TransfersMemory, request.DataCentre = request.Memory, true, s.current.assignment.Target.DataCentre
	assignment, ok := s.gateway.options.Controller.Place(s.ctx, edgecontrol.PlacementRequest{
		Pool: s.pool, Route: s.route.ID, Request: request, Versioned: true, Version: s.current.assignment.Target.Version,
	})
	if ok {
		s.moveAssignment = &assignment
		s.failover.RecordDestination()
	}
	return ok
}

// storeHandle keeps the handle of a KV cache that has been moved. A failed move has none.
func (s *streamRelay) storeHandle(handle KVHandle) {
	if handle.ID != "" {
		s.handle = handle
	}
}

// takeCopyHandle returns the handle of the memory that the engine with the copy has: that of a stopped generation if it
// has been moved there, otherwise that of the copy.
func (s *streamRelay) takeCopyHandle(holder placement.Candidate) KVHandle {
	if s.handle.ID == "" {
		return KVHandle{Address: holder.Address, ID: s.request.ID}
	}
	moved := s.handle
	s.handle = KVHandle{} // a handle can be used only once
	return moved
}

// releaseMove releases the capacity reserved for a move and frees the KV cache that was
// moved there.
func (s *streamRelay) releaseMove() {
	if s.moveAssignment == nil {
		return
	}
	if s.handle.ID != "" {
		go s.freeHandle(s.moveAssignment.Target.Address, s.handle.ID)
		s.handle = KVHandle{}
	}
	s.gateway.options.Controller.Release(*s.moveAssignment, placement.Inconclusive)
	s.moveAssignment = nil
}

// freeHandle releases a moved KV cache. Without the call the engine would keep it for some
// seconds.
func (s *streamRelay) freeHandle(at, handle string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), freeTimeout)
	defer cancel()
	if err := s.gateway.options.Mover.Free(ctx, at, handle); err != nil {
		s.log.WithError(err).WithField("at", at).Info("moved memory could not be freed")
	}
}
