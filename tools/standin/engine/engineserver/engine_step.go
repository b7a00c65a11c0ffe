package engineserver

import (
	"time"
)

// cachedPromptQuarters is the part of a prompt, in quarters, that is not computed when its
// prefix is cached. Prompts with the same prefix are assumed to share most of their text.
const cachedPromptQuarters = 3

// beginStep starts a decoding step if there is work and no step is running.
func (e *engine) beginStep(now time.Time) {
	if !e.stepEndsAt.IsZero() {
		return
	}
	e.batch.admit(func(s *stream) int {
		if e.cache.use(s.prefix, now) {
			return s.promptTokens * cachedPromptQuarters / 4
		}
		return 0
	})
	if len(e.batch.running) > 0 {
		e.stepEndsAt = now.Add(e.stepTime(now))
	}
}

// stepTime returns the duration of the step that starts now.
func (e *engine) stepTime(now time.Time) time.Duration {
	o := e.options
	duration := o.StepBase + time.Duration(len(e.batch.running))*o.StepPerStream
	duration += time.Duration(e.batch.computePrefill()) * o.PrefillPerToken
	if e.warmState.warm {
		return duration
	}
	overloaded := len(e.batch.running) > o.ColdStreams
	e.warmState.recordStep(duration, o.WarmAfter, overloaded, now)
	if overloaded {
		duration *= time.Duration(o.ColdFactor)
	}
	return duration
}

// endStep delivers the tokens of a step and starts the next one.
func (e *engine) endStep(now time.Time) {
	e.stepEndsAt = time.Time{}
	if e.warmState.shouldCrash(e.options.ColdCrash, now) {
		e.crash()
		return
	}
	for _, s := range e.batch.decode() {
		if s.produced >= s.length {
			e.batch.remove(s)
			s.phase = ended
			s.endedAt = now
		}
		e.notifyReaders(s, now)
	}
	e.beginStep(now)
}

// notifyReaders sends a stream's progress to its readers, with the faults to inject.
func (e *engine) notifyReaders(s *stream, now time.Time) {
	if len(s.subscribers) == 0 {
		return
	}
	u := s.progress()
	_, u.duplicate = e.faults.Trigger(FaultDuplicate, now)
	_, u.late = e.faults.Trigger(FaultLate, now)
	_, u.gap = e.faults.Trigger(FaultGap, now)
	_, u.cut = e.faults.Trigger(FaultCut, now)
	if stall, ok := e.faults.Trigger(FaultStall, now); ok {
		u.stall = stall.Delay()
	}
	if other := e.otherStream(s); other != nil {
		if _, ok := e.faults.Trigger(FaultCrossed, now); ok {
			u.crossed = other
		}
	}
	s.notify(u)
}

// otherStream returns a copy of another running stream that has produced a token, or nil.
func (e *engine) otherStream(s *stream) *stream {
	for _, candidate := range e.batch.running {
		if candidate != s && candidate.produced > 0 {
			return &stream{id: candidate.id, source: candidate.source, produced: candidate.produced}
		}
	}
	return nil
}

// sweep cancels streams that had no reader for resumeWindow and deletes those that ended
// at least endedRetention ago.
func (e *engine) sweep(now time.Time) {
	e.sweepAt = now.Add(sweepInterval)
	for id, s := range e.streams {
		detached := s.phase != ended && !s.detachedAt.IsZero() && now.Sub(s.detachedAt) >= resumeWindow
		expired := s.phase == ended && now.Sub(s.endedAt) >= endedRetention
		if detached || expired {
			e.cancel(id)
		}
	}
}
