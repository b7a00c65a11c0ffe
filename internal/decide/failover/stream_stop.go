package failover

import "time"

// RecordOpenRun records that the engine whose connection has ended may still run the generation.
func (s *Stream) RecordOpenRun() {
	s.open.current = !s.memoryMoved && s.stop != stopped
	s.open.begun = s.started
}

// RecordOpenSwitch records that the engine of the failed switch may have gone on with the generation, and may still
// run it.
func (s *Stream) RecordOpenSwitch() { s.open.failedNext = true }

// RecordRunStop records the result of StopLostRun or StopFailedSwitch: Done if the generation has been stopped and its
// memory moved, StoppedOnly if the engine does not run it any more, NotDone if it may go on, Unknown if the engine did
// not answer, InProgress if it carries out an earlier move or stop, NoRun if it knows no run of the request now. It
// reports whether the generation goes on although the engine may still work on it, or may begin it; the engine is to be
// asked further then.
func (s *Stream) RecordRunStop(result Result, now time.Duration) (unconfirmed bool) {
	step := s.pending
	s.pending = 0
	var beginBy time.Duration
	if step == StopLostRun && !s.copyUsable() && !s.reruns.Allowed() {
		beginBy = s.beginBy // the generation can go on only from this run
	}
	unconfirmed = s.open.record(result, beginBy, now)
	if step == StopLostRun && result == Done {
		s.begun, s.memoryMoved = true, !s.copied
	}
	return unconfirmed
}

// OpenRuns returns the steps that stop the runs which may go on at engines whose connections have ended.
func (s *Stream) OpenRuns() []StepKind { return s.open.steps() }

// MayRunOn reports whether the engine that the generation has last run at may still run it.
func (s *Stream) MayRunOn() bool {
	return !s.memoryMoved && s.stop != stopped && (!s.disconnected || s.open.current)
}

// StopRequested reports whether the engine has been asked to stop the generation.
func (s *Stream) StopRequested() bool {
	return s.pending == StopAndCopyMemory || s.memoryMoved || s.stop != notStopped
}

// RecordEnd records that the engine's response has ended in order, and returns whether the generation is
// complete. marked reports whether a length or a last chunk marked the end. An engine also closes its
// response when it stops a generation, so while a stop is pending, its result decides: Next returns Finish
// or another step after it.
func (s *Stream) RecordEnd(marked bool) bool {
	if s.pending == StopAndCopyMemory {
		s.ended, s.endMarked = true, marked
		return false
	}
	s.settleEnd(marked)
	return s.finished
}

// settleEnd decides whether the end of the engine's response is that of the generation. The response of a
// stopped generation has no marked end.
func (s *Stream) settleEnd(marked bool) {
	s.finished = s.stop == notStopped || s.stop == maybeStopped && marked
	s.disconnected = s.disconnected || !s.finished
	if s.disconnected {
		s.RecordOpenRun()
	}
}

// recordFailedStop records that the generation's memory has not been moved after StopAndCopyMemory.
func (s *Stream) recordFailedStop(result Result) {
	switch result {
	case StoppedOnly:
		s.stop, s.open.current = stopped, false
	case Unknown:
		s.stop = max(s.stop, maybeStopped)
	}
	if s.ended {
		s.settleEnd(s.endMarked)
	}
}
