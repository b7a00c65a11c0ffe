package engineserver

import (
	"time"
)

// cachedShare is the part of a prompt, in quarters, that need not be computed when its
// prefix is in the cache. Prompts that begin alike are taken to share most of their text.
const cachedShare = 3

// beginStep begins a decoding step if there is work and none is under way.
func (e *engine) beginStep(now time.Time) {
	if !e.stepEnds.IsZero() {
		return
	}
	e.batch.admit(func(s *stream) int {
		if e.cache.use(s.prefix, now) {
			return s.prompt * cachedShare / 4
		}
		return 0
	})
	if len(e.batch.running) > 0 {
		e.stepEnds = now.Add(e.stepTime(now))
	}
}

// stepTime returns how long the step that begins now takes.
func (e *engine) stepTime(now time.Time) time.Duration {
	o := e.options
	took := o.StepBase + time.Duration(len(e.batch.running))*o.StepPerStream
	took += time.Duration(e.batch.prefill()) * o.PrefillPerToken
	if e.warmth.warm {
		return took
	}
	overloaded := len(e.batch.running) > o.ColdStreams
	e.warmth.step(took, o.WarmAfter, overloaded, now)
	if overloaded {
		took *= time.Duration(o.ColdFactor)
	}
	return took
}

// endStep hands out the tokens of a step and begins the next one.
func (e *engine) endStep(now time.Time) {
	e.stepEnds = time.Time{}
	if e.warmth.crashes(e.options.ColdCrash, now) {
		e.crash()
		return
	}
	for _, s := range e.batch.decode() {
		if s.produced >= s.length {
			e.batch.remove(s)
			s.phase = ended
			s.endedAt = now
		}
		e.deliver(s, now)
	}
	e.beginStep(now)
}

// deliver tells a stream's readers of its new token and takes the faults to show.
func (e *engine) deliver(s *stream, now time.Time) {
	if len(s.readers) == 0 {
		return
	}
	u := s.state()
	_, u.duplicate = e.faults.Trigger(FaultDuplicate, now)
	_, u.late = e.faults.Trigger(FaultLate, now)
	_, u.gap = e.faults.Trigger(FaultGap, now)
	_, u.cut = e.faults.Trigger(FaultCut, now)
	if stall, ok := e.faults.Trigger(FaultStall, now); ok {
		u.stall = stall.Delay()
	}
	if other := e.other(s); other != nil {
		if _, ok := e.faults.Trigger(FaultCrossed, now); ok {
			u.crossed = other
		}
	}
	s.notify(u)
}

// other returns a copy of a stream other than the given one that has a token, or nil.
func (e *engine) other(s *stream) *stream {
	for _, candidate := range e.batch.running {
		if candidate != s && candidate.produced > 0 {
			return &stream{id: candidate.id, source: candidate.source, produced: candidate.produced}
		}
	}
	return nil
}

// tick cancels streams without readers and forgets ended ones.
func (e *engine) tick(now time.Time) {
	e.tickAt = now.Add(tickEvery)
	for id, s := range e.streams {
		detached := s.phase != ended && !s.detachedAt.IsZero() && now.Sub(s.detachedAt) >= resumeWindow
		expired := s.phase == ended && now.Sub(s.endedAt) >= keepEnded
		if detached || expired {
			e.cancel(id)
		}
	}
}
