package rerun

// handleFrame delivers, withholds or drops one token. Tokens of a replaced connection, or of
// a generation other than the connection's own, are dropped.
func (s State) handleFrame(event Event, effects []Effect) (State, []Effect) {
	switch {
	case s.current.active() && event.Connection == s.current.connection:
		return s.handleCurrentFrame(event, effects)
	case s.candidate.active() && event.Connection == s.candidate.connection:
		return s.handleCandidateFrame(event, effects)
	}
	return s, effects
}

func (s State) handleCurrentFrame(event Event, effects []Effect) (State, []Effect) {
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
	if s.candidate.active() && !s.reclaimed {
		return s.stopCandidate(effects)
	}
	return s, effects
}

func (s State) handleCandidateFrame(event Event, effects []Effect) (State, []Effect) {
	if event.Generation != s.candidate.generation || event.Sequence <= s.candidate.seen {
		return s, effects
	}
	if event.Sequence != s.candidate.seen+1 {
		return s.resumeCandidate(effects)
	}
	if s.candidate.seen == s.delivered { // only before the first token
		s, effects = s.promoteCandidate(effects)
		return s.handleCurrentFrame(event, effects)
	}
	s.candidate = s.candidate.advance(event.Digest)
	if event.Final {
		return s.rejectCandidate(effects)
	}
	if s.candidate.seen < s.delivered {
		return s, effects
	}
	if s.candidate.digest != s.digest {
		return s.rejectCandidate(effects)
	}
	return s.promoteCandidate(effects)
}

// promoteCandidate makes the candidate, which has reproduced every delivered token, the
// current generation.
func (s State) promoteCandidate(effects []Effect) (State, []Effect) {
	if s.current.active() {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.current.connection, Generation: s.current.generation})
	}
	s.current = s.candidate
	s.candidate = progress{}
	s.reclaimed = false
	return s, effects
}

// rejectCandidate stops a candidate that did not reproduce the delivered tokens. If the
// current generation is lost as well, the stream ends, because the output of a further rerun
// could differ too.
func (s State) rejectCandidate(effects []Effect) (State, []Effect) {
	s, effects = s.stopCandidate(effects)
	s.diverged = true
	if s.current.active() {
		return s, effects
	}
	return s.end(EndDiverged, effects)
}

func (s State) stopCandidate(effects []Effect) (State, []Effect) {
	effects = append(effects, Effect{Kind: EffectStop, Connection: s.candidate.connection, Generation: s.candidate.generation})
	s.candidate = progress{}
	return s, effects
}
