package failover

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
}

// recordFailedStop records that the generation's memory has not been moved after StopAndCopyMemory.
func (s *Stream) recordFailedStop(result Result) {
	switch result {
	case StoppedOnly:
		s.stop = stopped
	case Unknown:
		s.stop = max(s.stop, maybeStopped)
	}
	if s.ended {
		s.settleEnd(s.endMarked)
	}
}
