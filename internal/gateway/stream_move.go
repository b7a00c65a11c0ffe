package gateway

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

// move copies the generation's memory to another engine on a goroutine of its own.
func (s *streamRelay) move(final bool) {
	if !s.machine.Precopied() && !s.chooseMoveTarget() {
		s.machine.RecordMove(failover.NotDone, 0, s.now())
		return
	}
	from, to, id := s.source.use.Target.Address, s.moveUse.Target.Address, s.request.ID
	over, moves := s.ctx, s.moves
	ctx := context.WithoutCancel(over) // the engine goes on copying though nobody waits
	entry := s.log.WithField("from", s.source.use.Target.Target).WithField("to", s.moveUse.Target.Target).WithField("final", final)
	entry.Info("generation's memory moves")
	started, clock := s.now(), s.gateway.options.Clock
	go func() {
		handle, err := s.gateway.options.Mover.Move(ctx, from, id, to, final)
		result := failover.Done
		if err != nil {
			result = failover.NotDone
			entry.WithError(err).Info("move failed")
		} else {
			entry.WithField("took_ms", (clock() - started).Milliseconds()).Info("generation's memory has moved")
		}
		if over.Err() != nil && err == nil {
			s.free(to, handle.ID)
			return
		}
		moves <- moveResult{result: result, handle: handle, took: clock() - started}
	}()
}

// chooseMoveTarget picks the engine that a generation moves to, and keeps room there. It
// is false if there is none.
func (s *streamRelay) chooseMoveTarget() bool {
	s.movedFrom = append(s.movedFrom, s.source.use.Target.Target)
	if s.moveUse != nil {
		s.movedFrom = append(s.movedFrom, s.moveUse.Target.Target)
	}
	s.dropMove()
	if len(s.movedFrom) > mostAvoided {
		s.movedFrom = []core.TargetID{s.source.use.Target.Target} // room may have come up meanwhile
	}
	need := s.need(s.movedFrom)
	// Moves queue on the destination's link as prompts do for its processor.
	need.Prompt, need.TransfersMemory, need.DataCentre = need.Memory, true, s.source.use.Target.DataCentre
	use, ok := s.gateway.options.Controller.Place(s.ctx, edgecontrol.PlacementRequest{Pool: s.pool, Request: need})
	if ok {
		s.moveUse = &use
	}
	return ok
}

// keep notes the handle of moved memory; a move that failed has none.
func (s *streamRelay) keep(handle KVHandle) {
	if handle.ID != "" {
		s.handle = handle
	}
}

// dropMove gives back the room that was kept for a move, and frees what was moved there.
func (s *streamRelay) dropMove() {
	if s.moveUse == nil {
		return
	}
	if s.handle.ID != "" {
		go s.free(s.moveUse.Target.Address, s.handle.ID)
		s.handle = KVHandle{}
	}
	s.gateway.options.Controller.Release(*s.moveUse, placement.Inconclusive)
	s.moveUse = nil
}

// free drops moved memory that is not needed; the engine would keep it for some seconds.
func (s *streamRelay) free(at, handle string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), freeTimeout)
	defer cancel()
	if err := s.gateway.options.Mover.Free(ctx, at, handle); err != nil {
		s.log.WithError(err).WithField("at", at).Info("moved memory could not be freed")
	}
}
