package rerun

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// hedgeResumes is the number of reconnections without a new token after which a rerun
// starts beside them: the first one is immediate and mends a connection that broke alone.
const hedgeResumes = 2

// resumeCurrent reconnects to the target of the generation that is delivered, or gives
// the generation up when the reconnections are spent.
func (s State) resumeCurrent(effects []Effect) (State, []Effect) {
	if s.current.resumes >= s.limits.MaxResumes {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.current.connection, Generation: s.current.generation})
		return s.loseCurrent(effects)
	}
	s.current, effects = s.resume(s.current, effects)
	s.opened = s.current.connection
	return s, effects
}

func (s State) resumeCandidate(effects []Effect) (State, []Effect) {
	if s.candidate.resumes >= s.limits.MaxResumes {
		effects = append(effects, Effect{Kind: EffectStop, Connection: s.candidate.connection, Generation: s.candidate.generation})
		return s.loseCandidate(effects)
	}
	s.candidate, effects = s.resume(s.candidate, effects)
	s.opened = s.candidate.connection
	return s, effects
}

func (s State) resume(t track, effects []Effect) (track, []Effect) {
	effect := Effect{Kind: EffectResume, Connection: s.opened + 1, Generation: t.generation, After: t.seen, Wait: s.backoff(t.resumes)}
	t.connection = effect.Connection
	t.resumes++
	return t, append(effects, effect)
}

// stalled reconnects to a target that has been silent for too long, because the link may
// be dead without an error. A generation that waits for its ticket is left alone.
func (s State) stalled(effects []Effect) (State, []Effect) {
	if !s.current.live() {
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

// hedge starts a rerun beside a generation whose reconnections fail, so that a dead target
// is not waited for. The rerun is given up when the generation goes on first.
func (s State) hedge(effects []Effect) (State, []Effect) {
	failing := s.current.live() && s.current.resumes >= hedgeResumes
	if !failing || s.ended || s.candidate.live() || s.reruns >= s.limits.MaxReruns {
		return s, effects
	}
	return s.rerun(effects)
}

// backoff returns nothing for the first reconnection, then a doubling wait.
func (s State) backoff(resumes int) time.Duration {
	if resumes == 0 {
		return 0
	}
	return s.limits.ResumeBackoff << (resumes - 1)
}

func (s State) loseCurrent(effects []Effect) (State, []Effect) {
	s.current = track{}
	if s.candidate.live() {
		return s, effects
	}
	if s.diverged {
		return s.end(EndDiverged, effects)
	}
	return s.rerunOrEnd(effects)
}

func (s State) loseCandidate(effects []Effect) (State, []Effect) {
	s.candidate = track{}
	if s.current.live() && !s.reclaimed {
		return s, effects
	}
	if s.current.live() && s.reruns >= s.limits.MaxReruns {
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
	s.opened++
	s.candidate = track{connection: s.opened}
	return s, append(effects, Effect{Kind: EffectRerun, Connection: s.opened})
}
