package rerun

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// hedgeResumes is the number of reconnections without a new token after which a rerun is
// started in parallel. The first reconnection is immediate and is enough when only the
// connection failed.
const hedgeResumes = 2

// resumeCurrent reconnects to the target of the current generation, or stops the
// generation when the limit of reconnections is reached.
func (s State) resumeCurrent(effects []Effect) (State, []Effect) {
	if s.current.resumes >= s.limits.MaxResumes {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.current.connection, Generation: s.current.generation})
		return s.loseCurrent(effects)
	}
	s.current, effects = s.resume(s.current, effects)
	s.lastConnection = s.current.connection
	return s, effects
}

func (s State) resumeCandidate(effects []Effect) (State, []Effect) {
	if s.candidate.resumes >= s.limits.MaxResumes {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.candidate.connection, Generation: s.candidate.generation})
		return s.loseCandidate(effects)
	}
	s.candidate, effects = s.resume(s.candidate, effects)
	s.lastConnection = s.candidate.connection
	return s, effects
}

func (s State) resume(p progress, effects []Effect) (progress, []Effect) {
	effect := Effect{Kind: EffectResume, Connection: s.lastConnection + 1, Generation: p.generation, After: p.seen, Wait: s.backoff(p.resumes)}
	p.connection = effect.Connection
	p.resumes++
	return p, append(effects, effect)
}

// handleStalled reconnects to a target that has been silent for too long, because the
// connection may be dead without an error. A generation that waits for its ticket is left
// alone.
func (s State) handleStalled(effects []Effect) (State, []Effect) {
	if !s.current.active() {
		if s.candidate.generation == (core.GenerationID{}) {
			return s, effects
		}
		return s.resumeCandidate(effects)
	}
	if s.current.generation == (core.GenerationID{}) {
		return s, effects
	}
	s, effects = s.resumeCurrent(effects)
	return s.hedge(effects)
}

// hedge starts a rerun in parallel to a generation whose reconnections fail, so that the
// stream does not wait for a dead target. The rerun is stopped if the generation delivers a
// token first.
func (s State) hedge(effects []Effect) (State, []Effect) {
	failing := s.current.active() && s.current.resumes >= hedgeResumes
	if !failing || s.ended || s.candidate.active() || s.reruns >= s.limits.MaxReruns {
		return s, effects
	}
	return s.rerun(effects)
}

// backoff returns zero for the first reconnection, then a wait that doubles each time.
func (s State) backoff(resumes int) time.Duration {
	if resumes == 0 {
		return 0
	}
	return s.limits.ResumeBackoff << (resumes - 1)
}

func (s State) loseCurrent(effects []Effect) (State, []Effect) {
	s.current = progress{}
	if s.candidate.active() {
		return s, effects
	}
	if s.diverged {
		return s.end(EndDiverged, effects)
	}
	return s.rerunOrEnd(effects)
}

func (s State) loseCandidate(effects []Effect) (State, []Effect) {
	s.candidate = progress{}
	if s.current.active() && !s.reclaimed {
		return s, effects
	}
	if s.current.active() && s.reruns >= s.limits.MaxReruns {
		return s, effects
	}
	return s.rerunOrEnd(effects)
}

func (s State) rerunOrEnd(effects []Effect) (State, []Effect) {
	if s.reruns >= s.limits.MaxReruns {
		return s.end(EndFailed, effects)
	}
	return s.rerun(effects)
}

func (s State) rerun(effects []Effect) (State, []Effect) {
	s.reruns++
	s.lastConnection++
	s.candidate = progress{connection: s.lastConnection}
	return s, append(effects, Effect{Kind: EffectRerun, Connection: s.lastConnection})
}
