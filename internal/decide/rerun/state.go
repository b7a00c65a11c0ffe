package rerun

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// State is the decision state of one caller's stream. It holds no text: a chained hash
// and a count stand for the delivered tokens, so its size does not grow.
type State struct {
	limits    Limits
	current   track // generation whose tokens are delivered
	candidate track // rerun that has not yet caught up
	delivered core.Sequence
	digest    uint64 // chained hash of the delivered tokens
	opened    ConnectionID
	reruns    int
	reached   bool // some target may have run the request
	reclaimed bool // the current target will stop soon
	diverged  bool // a rerun did not reproduce the delivered tokens
	ended     bool
}

// New returns the state of a request whose first attempt runs on connection 1.
func New(limits Limits) State {
	return State{limits: limits, opened: 1, current: track{connection: 1}}
}

// NewResumed returns the state of a stream that a caller resumes after the given token,
// and the effect that opens connection 1. The digest is the chained hash of the tokens
// that the caller already has.
func NewResumed(limits Limits, generation core.GenerationID, after core.Sequence, digest uint64) (State, Effect) {
	current := track{connection: 1, generation: generation, seen: after, digest: digest}
	state := State{limits: limits, opened: 1, current: current, delivered: after, digest: digest, reached: true}
	return state, Effect{Kind: EffectResume, Connection: 1, Generation: generation, After: after}
}

// Delivered returns the number of tokens that the caller has.
func (s State) Delivered() core.Sequence { return s.delivered }

// Digest returns the chained hash of the tokens that the caller has.
func (s State) Digest() uint64 { return s.digest }

// Ended reports whether the caller's stream has ended.
func (s State) Ended() bool { return s.ended }

// Step takes one event and appends what is to be done to effects.
func (s State) Step(event Event, _ time.Time, effects []Effect) (State, []Effect) {
	if s.ended {
		return s, effects
	}
	switch event.Kind {
	case EventStarted:
		return s.started(event), effects
	case EventFrame:
		return s.frame(event, effects)
	case EventDisconnected:
		return s.broken(event, effects)
	case EventGenerationLost:
		return s.lost(event, effects)
	case EventRefused:
		return s.refused(event, effects)
	case EventReclaim:
		return s.reclaim(event, effects)
	case EventStalled:
		return s.stalled(effects)
	}
	return s, effects
}

func (s State) started(event Event) State {
	s.reached = true
	if event.Connection == s.current.connection {
		s.current.generation = event.Generation
	}
	if event.Connection == s.candidate.connection {
		s.candidate.generation = event.Generation
	}
	return s
}

func (s State) broken(event Event, effects []Effect) (State, []Effect) {
	switch event.Connection {
	case 0:
		return s, effects
	case s.current.connection:
		s, effects = s.resumeCurrent(effects)
		return s.hedge(effects)
	case s.candidate.connection:
		return s.resumeCandidate(effects)
	}
	return s, effects
}

func (s State) lost(event Event, effects []Effect) (State, []Effect) {
	s.reached = s.reached || event.MayHaveReached
	switch event.Connection {
	case 0:
		return s, effects
	case s.current.connection:
		return s.loseCurrent(effects)
	case s.candidate.connection:
		return s.loseCandidate(effects)
	}
	return s, effects
}

func (s State) refused(event Event, effects []Effect) (State, []Effect) {
	switch event.Connection {
	case 0:
		return s, effects
	case s.current.connection:
		return s.end(EndRefused, effects)
	case s.candidate.connection:
		s.candidate = track{}
		if s.current.live() {
			return s, effects
		}
		return s.end(EndFailed, effects)
	}
	return s, effects
}

func (s State) reclaim(event Event, effects []Effect) (State, []Effect) {
	if !s.current.live() || event.Generation != s.current.generation {
		return s, effects
	}
	s.reclaimed = true
	if s.candidate.live() || s.reruns >= s.limits.MaxReruns {
		return s, effects
	}
	return s.rerun(effects)
}

func (s State) end(reason EndReason, effects []Effect) (State, []Effect) {
	s.ended = true
	return s, append(effects, Effect{Kind: EffectEnd, Reason: reason, MayHaveRun: s.reached})
}
