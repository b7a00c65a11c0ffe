package pace

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// engineHalfLife is the time in which what was seen of an engine loses half of its weight. An engine sends
	// some hundred events in it, and a slowed one must be known in seconds.
	engineHalfLife = 1500 * time.Millisecond
	// priorEvents is the number of events that the average of the pool counts as in an engine's factor.
	priorEvents = 5
	// minFactor and maxFactor bound an engine's factor.
	minFactor = 0.1
	maxFactor = 10.0
	// maxTypicalPrompts bounds the mean of the pending prompts.
	maxTypicalPrompts = 100
	// confirmAfter is the time after a long pause from which events in time show that the engine had not fallen
	// silent: hosts report the events before the pause by then.
	confirmAfter = 500 * time.Millisecond
)

// engine is what is known of one engine.
type engine struct {
	pool    core.PoolID
	seen    moments // with engineHalfLife
	late    float64 // late pauses, with engineHalfLife
	last    Load    // at the report before
	factor  float64 // to the curve of the pool, as of the last refresh
	trouble float64 // share of the pauses that were late
	limit   memoryLimit
	// suspect is the memory share at a long pause that may come from a preemption; zero for none.
	suspect   float64
	suspectAt time.Duration
	seenAt    time.Duration
}

func newEngine(pool core.PoolID, load Load, now time.Duration) *engine {
	return &engine{pool: pool, seen: moments{at: now}, last: load, factor: 1, limit: newMemoryLimit(now)}
}

// decay ages what was seen.
func (e *engine) decay(now time.Duration) {
	if now > e.seen.at {
		e.late *= math.Exp2(-float64(now-e.seen.at) / float64(engineHalfLife))
	}
	e.seen.decay(now, engineHalfLife)
	e.limit.recover(now)
}

// refresh computes the factor and the share of late pauses.
func (e *engine) refresh(curve Curve) {
	e.factor, e.trouble = 1, 0
	if !curve.Known() || e.seen.w <= 0 {
		return
	}
	predicted := e.seen.predicted(curve)
	prior := priorEvents * curve.Base
	e.factor = min(max((e.seen.y+prior)/(predicted+prior), minFactor), maxFactor)
	e.trouble = min(e.late/(e.seen.w+priorEvents), 1)
}

// suspectPreemption records a long pause under a load.
func (e *engine) suspectPreemption(load Load, now time.Duration) {
	if load.MemoryShare >= minLimit && e.suspect == 0 {
		e.suspect, e.suspectAt = load.MemoryShare, now
	}
}

// confirmPreemption reports whether other streams went on during a long pause, so that a preemption explains it: all
// streams of an engine that has fallen silent pause.
func (e *engine) confirmPreemption(sums Sums, now time.Duration) bool {
	return e.suspect > 0 && now-e.suspectAt >= confirmAfter && sums.Events > 2*sums.Late
}

// typicalPrompts returns the mean of the pending prompts, in units of promptScale, while events were seen.
func (e *engine) typicalPrompts() float64 {
	if e.seen.w <= 0 {
		return 0
	}
	return min(e.seen.x2/e.seen.w, maxTypicalPrompts)
}
