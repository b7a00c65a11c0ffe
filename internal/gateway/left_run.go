package gateway

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
)

// leftRun is the run of an engine that the stream has left while the engine worked on the generation.
type leftRun struct {
	target core.TargetID
	cancel context.CancelFunc // ends the requests to stop it
}

// leaveCurrent closes the exchange with the current engine after another one has gone on with the generation. An
// engine may work on for a while after the close, so it is also asked to stop.
func (s *streamRelay) leaveCurrent() {
	s.current.stop()
	if !s.canMove() || !s.failover.MayRunOn() {
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	s.left = append(s.left, leftRun{target: s.current.assignment.Target.Target, cancel: cancel})
	go s.stopLeftRun(ctx, s.current, s.next.assignment.Target)
}

// returnTo keeps the requests to stop an earlier run of an engine from stopping the run that begins there.
func (s *streamRelay) returnTo(target core.TargetID) {
	for _, run := range s.left {
		if run.target == target {
			run.cancel()
		}
	}
}

// stopLeftRun stops the run of an engine that the stream has left. next is the engine that has gone on with it.
func (s *streamRelay) stopLeftRun(ctx context.Context, left *upstream, next placement.Candidate) {
	<-left.done
	run := failover.NewLeftRun(s.now(), closeGrace)
	for {
		switch step := run.Next(s.now()); step.Kind {
		case failover.Wait:
			if !waitFor(ctx, step.At-s.now()) {
				return
			}
		case failover.StopLostRun:
			stop := s.stopRun(ctx, left.assignment.Target, next.Address)
			if stop.result == failover.Done {
				s.freeHandle(stop.at, stop.handle.ID)
			}
			run.RecordRunStop(stop.result, s.now())
		case failover.GiveUp:
			s.log.WithField("target", left.assignment.Target.Target).Warn("engine may still run a generation that has gone on elsewhere")
			return
		default:
			return
		}
	}
}

// waitFor waits for a time. It returns false if the context ends before.
func waitFor(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
