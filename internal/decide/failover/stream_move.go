package failover

import "time"

// nextMove moves a generation that has started: it pre-copies the memory at once, then
// repeats the pre-copy with what is new until that is fast. The stop-and-copy step, during
// which the generation pauses, then does not queue behind the moves of other generations.
func (s *Stream) nextMove(now time.Duration) Step {
	switch due := s.leavingSince + s.timing.StopAndCopyAfter; {
	case !s.started:
		return Step{Kind: Wait}
	case now < s.retryMoveAt:
		return Step{Kind: Wait, At: s.retryMoveAt}
	case !s.precopied && now > s.leavingSince+s.timing.PrecopyDeadline:
		return Step{Kind: Wait}
	case !s.precopied:
		return Step{Kind: PrecopyMemory}
	case now < due:
		return Step{Kind: Wait, At: due}
	case !s.linksFree && now < s.leavingSince+s.timing.StopAndCopyDeadline:
		return Step{Kind: PrecopyMemory}
	default:
		return Step{Kind: StopAndCopyMemory}
	}
}

// RecordMove records the result of PrecopyMemory or StopAndCopyMemory and how long it took.
func (s *Stream) RecordMove(result Result, took, now time.Duration) {
	step := s.pending
	s.pending = 0
	switch {
	case step == PrecopyMemory && result == Done:
		s.linksFree = s.precopied && took <= s.timing.FastPrecopy
		s.precopied = true
	case step == StopAndCopyMemory && result == Done:
		s.memoryMoved, s.open.current = true, false
	default:
		s.precopied, s.linksFree = false, false // the next attempt chooses another engine
		s.moves++
		s.retryMoveAt = now + moveRetryDelay
		if step == StopAndCopyMemory {
			s.recordFailedStop(result)
		}
	}
}

// RecordUncovered records that StopAndCopyMemory was not begun, because the retry budget does not cover the
// request that would go on at the destination. The generation keeps running.
func (s *Stream) RecordUncovered(now time.Duration) {
	s.pending = 0
	s.retryMoveAt = now + budgetRetryDelay
}
