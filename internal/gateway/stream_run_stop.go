package gateway

import (
	"context"
	"errors"

	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
)

// mayRunOn reports whether an engine may still run a request after the exchange with it has failed.
func mayRunOn(cause error) bool {
	var unsent *UnsentError
	var failed *ExchangeError
	var truncated *TruncatedStreamError // the engine has marked the end of its response
	return !errors.As(cause, &unsent) && !errors.As(cause, &truncated) && !(errors.As(cause, &failed) && failed.Gone)
}

// startRunStop starts a goroutine that carries out StopLostRun or StopFailedSwitch.
func (s *streamRelay) startRunStop(step failover.StepKind) {
	from, to := s.failedSwitch, ""
	switch {
	case step == failover.StopLostRun:
		from, to = s.current.assignment.Target, s.stopDestination()
	case s.canMove():
		to = s.current.assignment.Target.Address
	}
	streamCtx, results := s.ctx, s.runStopResults
	go func() {
		stop := s.stopRun(context.WithoutCancel(streamCtx), from, to)
		if streamCtx.Err() != nil && stop.result == failover.Done {
			s.freeHandle(stop.at, stop.handle.ID)
			return
		}
		stop.step = step
		results <- stop
	}()
}

// stopDestination returns the address of the engine to which the memory of the stopped generation moves; empty if no
// engine has capacity, or if the engines cannot move memory.
func (s *streamRelay) stopDestination() string {
	if !s.canMove() {
		return ""
	}
	if s.failover.HasCopy() {
		return s.current.assignment.Copy.Address
	}
	if s.moveAssignment == nil && !s.chooseMoveTarget() {
		return ""
	}
	return s.moveAssignment.Target.Address
}

// stopRun asks an engine once to stop the generation and to move its memory. An engine that cannot be asked, since its
// memory can be moved nowhere, has stopped it only if its process has ended.
func (s *streamRelay) stopRun(ctx context.Context, from placement.Candidate, to string) runStopResult {
	ctx, cancel := context.WithTimeout(ctx, runStopTimeout)
	defer cancel()
	entry := s.log.WithField("target", from.Target)
	if to == "" {
		gone := refusesConnections(ctx, from.Address)
		entry.WithField("target_gone", gone).Info("engine was not asked to stop a generation: its memory can be moved nowhere")
		if gone {
			return runStopResult{result: failover.StoppedOnly}
		}
		return runStopResult{result: failover.NotDone}
	}
	handle, err := s.gateway.options.Mover.Move(ctx, from.Address, s.request.ID, to, true)
	stop := runStopResult{result: runStopOutcome(err), handle: handle, at: to}
	if err != nil {
		entry = entry.WithField("cause", err.Error())
	}
	entry.WithField("stopped", stop.result == failover.Done || stop.result == failover.StoppedOnly).
		WithField("no_run", stop.result == failover.NoRun).WithField("moved", err == nil).
		Info("engine was asked to stop a generation whose connection has ended")
	return stop
}

// runStopOutcome returns the result of a request to stop a generation for the failover decision.
func runStopOutcome(err error) failover.Result {
	var refused *MoveRefusedError
	var silent *NoResponseError
	switch {
	case err == nil:
		return failover.Done
	case errors.As(err, &refused) && refused.Busy:
		return failover.InProgress
	case errors.As(err, &refused) && refused.NoRun:
		return failover.NoRun
	case errors.As(err, &refused) && refused.Stopped, errors.As(err, &silent) && silent.Gone:
		return failover.StoppedOnly
	case errors.As(err, &silent):
		return failover.Unknown
	default:
		return failover.NotDone
	}
}

// handleRunStop records the result of asking an engine to stop the generation. The memory of a lost run is where the
// generation goes on, if it has been moved; that of a failed switch and of an unsound run is not needed.
func (s *streamRelay) handleRunStop(stop runStopResult) {
	switch {
	case stop.result != failover.Done:
	case stop.step == failover.StopLostRun && !s.current.unsound:
		s.storeHandle(stop.handle)
	default:
		go s.freeHandle(stop.at, stop.handle.ID)
		stop.result = failover.StoppedOnly
	}
	if s.failover.RecordRunStop(stop.result, s.now()) {
		s.keepStopping(stop)
	}
}
