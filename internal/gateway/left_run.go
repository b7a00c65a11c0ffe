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

// leaveCurrent closes the exchange with the current engine, since another one has gone on with the generation or may
// do so. An engine may work on for a while after the close, so it is also asked to stop.
func (s *streamRelay) leaveCurrent() {
	if s.current.stopped {
		return
	}
	s.current.stop()
	if !s.canMove() || !s.failover.MayRunOn() {
		return
	}
	left, to, begun := s.current, s.next.assignment.Target.Address, s.failover.Started()
	beginBy, deadline := left.sentAt+s.latestBegin(), s.arrived+s.deadline
	ctx := s.recordLeft(left.assignment.Target.Target)
	go func() {
		<-left.done
		s.stopLeftRun(ctx, failover.NewLeftRun(s.now()+closeGrace, begun, beginBy, deadline), left.assignment.Target, to)
	}()
}

// keepStopping asks an engine further to stop a run that it may still work on, or may begin, though the generation
// goes on elsewhere. stop is the result of the last request.
func (s *streamRelay) keepStopping(stop runStopResult) {
	from, sentAt, begun := s.current.assignment.Target, s.current.sentAt, s.failover.Started()
	if stop.step == failover.StopFailedSwitch {
		from, sentAt, begun = s.failedSwitch, s.failedSwitchSentAt, false
	}
	run := failover.NewLeftRun(s.now()+closeGrace, begun, sentAt+s.latestBegin(), s.arrived+s.deadline)
	s.log.WithField("target", from.Target).WithField("begun", begun).Info("engine may still run a generation, and is asked further to stop it")
	go s.stopLeftRun(s.recordLeft(from.Target), run, from, stop.at)
}

// stopOpenRuns stops the runs that may go on at engines whose connections have ended, since the stream ends. The caller
// may ask for the generation again.
func (s *streamRelay) stopOpenRuns() {
	if s.current == nil || !s.canMove() {
		return
	}
	for _, step := range s.failover.OpenRuns() {
		to := s.current.assignment.Target.Address
		if step == failover.StopLostRun {
			if to = s.failedSwitch.Address; to == "" {
				to = s.stopDestination()
			}
		}
		s.keepStopping(runStopResult{step: step, at: to})
	}
}

// recordLeft records that a run is stopped at an engine that the stream has left. The context ends once the stream
// returns there.
func (s *streamRelay) recordLeft(target core.TargetID) context.Context {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	s.left = append(s.left, leftRun{target: target, cancel: cancel})
	return ctx
}

// leftTargets returns the engines that the stream has left, which may still have its request.
func (s *streamRelay) leftTargets() []core.TargetID {
	var targets []core.TargetID
	for _, run := range s.left {
		targets = append(targets, run.target)
	}
	return targets
}

// latestBegin returns the time from the sending of a request after which an engine that has not begun to run it does
// not begin any more.
func (s *streamRelay) latestBegin() time.Duration { return latestBeginWindows * s.beginWindow() }

// returnTo keeps the requests to stop an earlier run of an engine from stopping the run that begins there.
func (s *streamRelay) returnTo(target core.TargetID) {
	for _, run := range s.left {
		if run.target == target {
			run.cancel()
		}
	}
}

// stopLeftRun stops the run of an engine that the stream has left. to is the address of an engine that the generation's
// memory may be moved to.
func (s *streamRelay) stopLeftRun(ctx context.Context, run *failover.LeftRun, from placement.Candidate, to string) {
	for {
		switch step := run.Next(s.now()); step.Kind {
		case failover.Wait:
			if !waitFor(ctx, step.At-s.now()) {
				return
			}
		case failover.StopLostRun:
			stop := s.stopRun(ctx, from, to)
			if stop.result == failover.Done {
				s.freeHandle(stop.at, stop.handle.ID)
			}
			run.RecordRunStop(stop.result, s.now())
		case failover.GiveUp:
			s.log.WithField("target", from.Target).Warn("engine may still run a generation that has gone on elsewhere")
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
