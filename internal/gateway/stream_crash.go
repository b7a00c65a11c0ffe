package gateway

import (
	"errors"

	"siskintide.example/siskintide/internal/core"
)

// countRunEvent counts an event of the current run, repeated ones included.
func (s *streamRelay) countRunEvent() {
	if s.runEvents == 0 {
		s.runBeganAt = s.now()
	}
	s.runEvents++
}

// recordSound records that the generation has begun, so its prompt is sound.
func (s *streamRelay) recordSound() {
	s.soundRecorded = true
	s.recordPromptSound(s.current.assignment.Target.Target)
}

// aboutToBegin reports whether the generation has not run for long enough to show that its prompt is sound.
func (s *streamRelay) aboutToBegin() bool {
	return s.runEvents == 0 || s.now()-s.runBeganAt < soundTime
}

// failedAtStart reports whether an engine broke the stream off by itself as it began to respond: the
// response header has arrived, and hardly any event.
func (s *streamRelay) failedAtStart(failed *ExchangeError) bool {
	return s.runEvents < soundEvents && failed.Phase == phaseStream
}

// recordCrash records that an engine crashed as it began to respond, and reports whether it did. The request whose
// response had just begun is the likely cause. An engine that is gone may have crashed under any of those whose
// responses were about to begin, since what it sent last may be lost or underway.
func (s *streamRelay) recordCrash(target core.TargetID, cause error) bool {
	var failed *ExchangeError
	if !errors.As(cause, &failed) || s.ctx.Err() != nil || s.failover.StopRequested() || !s.aboutToBegin() {
		return false
	}
	switch {
	case s.failedAtStart(failed):
		s.recordPromptCrash(target, false)
		s.failover.RecordCopyLost() // the engine with the copy would crash too
		s.reruns.Forbid()           // and so would any other
	case failed.Gone:
		s.recordPromptCrash(target, true)
	default:
		return false
	}
	return true
}
