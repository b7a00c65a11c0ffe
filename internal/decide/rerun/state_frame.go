package rerun

// frame delivers, holds back or drops one token. A token of another generation than the
// connection's own, or of a replaced connection, goes nowhere.
func (s State) frame(event Event, effects []Effect) (State, []Effect) {
	switch {
	case s.current.live() && event.Connection == s.current.connection:
		return s.currentFrame(event, effects)
	case s.candidate.live() && event.Connection == s.candidate.connection:
		return s.candidateFrame(event, effects)
	}
	return s, effects
}

func (s State) currentFrame(event Event, effects []Effect) (State, []Effect) {
	if event.Generation != s.current.generation || event.Sequence <= s.current.seen {
		return s, effects
	}
	if event.Sequence != s.current.seen+1 {
		return s.resumeCurrent(effects)
	}
	s.current = s.current.advance(event.Digest)
	s.delivered = s.current.seen
	s.digest = s.current.digest
	effects = append(effects, Effect{Kind: EffectDeliver})
	if event.Final {
		return s.end(EndFinished, effects)
	}
	if s.candidate.live() && !s.reclaimed {
		return s.stopCandidate(effects)
	}
	return s, effects
}

func (s State) candidateFrame(event Event, effects []Effect) (State, []Effect) {
	if event.Generation != s.candidate.generation || event.Sequence <= s.candidate.seen {
		return s, effects
	}
	if event.Sequence != s.candidate.seen+1 {
		return s.resumeCandidate(effects)
	}
	if s.candidate.seen == s.delivered { // only before the first token
		s, effects = s.adopt(effects)
		return s.currentFrame(event, effects)
	}
	s.candidate = s.candidate.advance(event.Digest)
	if event.Final {
		return s.diverge(effects)
	}
	if s.candidate.seen < s.delivered {
		return s, effects
	}
	if s.candidate.digest != s.digest {
		return s.diverge(effects)
	}
	return s.adopt(effects)
}

// adopt makes the candidate, which has reproduced every delivered token, the generation
// that is delivered.
func (s State) adopt(effects []Effect) (State, []Effect) {
	if s.current.live() {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.current.connection, Generation: s.current.generation})
	}
	s.current = s.candidate
	s.candidate = track{}
	s.reclaimed = false
	return s, effects
}

// diverge gives up a candidate that did not reproduce the delivered tokens. A further
// rerun could not be trusted either.
func (s State) diverge(effects []Effect) (State, []Effect) {
	s, effects = s.stopCandidate(effects)
	s.diverged = true
	if s.current.live() {
		return s, effects
	}
	return s.end(EndDiverged, effects)
}

func (s State) stopCandidate(effects []Effect) (State, []Effect) {
	effects = append(effects, Effect{Kind: EffectStop, Connection: s.candidate.connection, Generation: s.candidate.generation})
	s.candidate = track{}
	return s, effects
}
