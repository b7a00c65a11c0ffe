package rerun

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// State is the decision state of one caller's stream. It holds no text: a chained hash
// and a count represent the delivered tokens, so its size is constant.
type State struct {
	limits         Limits
	current        progress // generation whose tokens are being delivered
	candidate      progress // rerun that has not yet reproduced the delivered tokens
	delivered      core.Sequence
	digest         uint64 // chained hash of the delivered tokens
	lastConnection ConnectionID
	reruns         int
	mayHaveRun     bool // some target may have run the request
	reclaimed      bool // the current target is about to stop
	diverged       bool // a rerun did not reproduce the delivered tokens
	ended          bool
}

// New returns the state of a request whose first attempt runs on connection 1.
func New(limits Limits) State {
	return State{limits: limits, lastConnection: 1, current: progress{connection: 1}}
}

// NewResumed returns the state of a stream that a caller resumes after the given token, and
// the effect that opens connection 1. digest is the chained hash of the tokens that the
// caller already has.
func NewResumed(limits Limits, generation core.GenerationID, after core.Sequence, digest uint64) (State, Effect) {
	current := progress{connection: 1, generation: generation, seen: after, digest: digest}
	state := State{limits: limits, lastConnection: 1, current: current, delivered: after, digest: digest, mayHaveRun: true}
	return state, Effect{Kind: EffectResume, Connection: 1, Generation: generation, After: after}
}

// Delivered returns the number of tokens that the caller has.
func (s State) Delivered() core.Sequence { return s.delivered }

// Digest returns the chained hash of the tokens that the caller has.
func (s State) Digest() uint64 { return s.digest }

// Ended reports whether the caller's stream has ended.
func (s State) Ended() bool { return s.ended }

// Step handles one event and appends the resulting effects to effects.
func (s State) Step(event Event, _ time.Time, effects []Effect) (State, []Effect) {
	if s.ended {
		return s, effects
	}
	switch event.Kind {
	case EventStarted:
		return s.handleStarted(event), effects
	case EventFrame:
		return s.handleFrame(event, effects)
	case EventDisconnected:
		return s.handleDisconnected(event, effects)
	case EventGenerationLost:
		return s.handleLost(event, effects)
	case EventRefused:
		return s.handleRefused(event, effects)
	case EventReclaim:
		return s.handleReclaim(event, effects)
	case EventStalled:
		return s.handleStalled(effects)
	}
	return s, effects
}

func (s State) handleStarted(event Event) State {
	s.mayHaveRun = true
	if event.Connection == s.current.connection {
		s.current.generation = event.Generation
	}
	if event.Connection == s.candidate.connection {
		s.candidate.generation = event.Generation
	}
	return s
}

func (s State) handleDisconnected(event Event, effects []Effect) (State, []Effect) {
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

func (s State) handleLost(event Event, effects []Effect) (State, []Effect) {
	s.mayHaveRun = s.mayHaveRun || event.MayHaveReached
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

func (s State) handleRefused(event Event, effects []Effect) (State, []Effect) {
	switch event.Connection {
	case 0:
		return s, effects
	case s.current.connection:
		return s.end(EndRefused, effects)
	case s.candidate.connection:
		s.candidate = progress{}
		if s.current.active() {
			return s, effects
		}
		return s.end(EndFailed, effects)
	}
	return s, effects
}

func (s State) handleReclaim(event Event, effects []Effect) (State, []Effect) {
	if !s.current.active() || event.Generation != s.current.generation {
		return s, effects
	}
	s.reclaimed = true
	if s.candidate.active() || s.reruns >= s.limits.MaxReruns {
		return s, effects
	}
	return s.rerun(effects)
}

func (s State) end(reason EndReason, effects []Effect) (State, []Effect) {
	s.ended = true
	return s, append(effects, Effect{Kind: EffectEnd, Reason: reason, MayHaveRun: s.mayHaveRun})
}
