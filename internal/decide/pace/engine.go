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
	// recentHalfLife is the time in which recent events lose half of their weight. Engines are slowed for moments of
	// 0.3 to 2 s, and a report comes every 0.3 s.
	recentHalfLife = 300 * time.Millisecond
	// promptHalfLife is the time in which prompts that were placed lose half of their weight in the rate of prompts.
	promptHalfLife = 5 * time.Second
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
	recent  moments // with recentHalfLife
	current float64 // factor of the latest events, as of the last refresh
	trouble float64 // share of the pauses that were late
	limit   memoryLimit
	// suspect is the memory share at a long pause that may come from a preemption; zero for none.
	suspect   float64
	suspectAt time.Duration
	seenAt    time.Duration
	// prompts is the number of prompts placed here, in units of promptScale, with promptHalfLife; promptAt is the time
	// of the last one, and promptFactor the factor at that time.
	prompts      float64
	promptAt     time.Duration
	promptFactor float64
	// As of the last refresh: prompts that come in a second, the rate of promptHarm, and that of the latest events.
	perSecond, usualHarm, currentHarm float64
}

func newEngine(pool core.PoolID, load Load, now time.Duration) *engine {
	return &engine{
		pool: pool, seen: moments{at: now}, recent: moments{at: now}, last: load, factor: 1, current: 1, limit: newMemoryLimit(now), seenAt: now,
		promptAt: now, promptFactor: 1,
	}
}

// reported reports whether events of the engine were seen. Until then only prompts were placed there.
func (e *engine) reported() bool { return e.seen.w > 0 }

// decay ages what was seen.
func (e *engine) decay(now time.Duration) {
	if now > e.seen.at {
		e.late *= math.Exp2(-float64(now-e.seen.at) / float64(engineHalfLife))
	}
	e.seen.decay(now, engineHalfLife)
	e.recent.decay(now, recentHalfLife)
	e.limit.recover(now)
}

// refresh computes the factors, the share of late pauses, and what prompts do here.
func (e *engine) refresh(p *poolCurve, now time.Duration) {
	e.factor, e.current, e.trouble = 1, 1, 0
	if p.curve.Known() && e.reported() {
		e.factor = e.seen.factor(p.curve, 1)
		e.current = e.recent.factor(p.curve, e.factor)
		e.trouble = min(e.late/(e.seen.w+priorEvents), 1)
	}
	e.perSecond, e.usualHarm, e.currentHarm = e.promptRate(now), p.harm.rate(e.factor), p.harm.rate(e.slowest())
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

// recordPrompt records a prompt that was placed here.
func (e *engine) recordPrompt(prompt core.Tokens, now time.Duration) {
	e.prompts = e.prompts*math.Exp2(-float64(max(now-e.promptAt, 0))/float64(promptHalfLife)) + prompts(prompt)
	e.promptAt, e.promptFactor = max(now, e.promptAt), e.slowest()
}

// promptRate returns the prompts, in units of promptScale, that come in a second.
func (e *engine) promptRate(now time.Duration) float64 {
	return e.prompts * math.Exp2(-float64(max(now-e.promptAt, 0))/float64(promptHalfLife)) * math.Ln2 / promptHalfLife.Seconds()
}

// slowest returns the factor of the engine, or that of its latest events if it is slowed.
func (e *engine) slowest() float64 { return max(e.factor, e.current) }

// typicalPrompts returns the mean of the pending prompts, in units of promptScale, while events were seen.
func (e *engine) typicalPrompts() float64 {
	if e.seen.w <= 0 {
		return 0
	}
	return min(e.seen.x2/e.seen.w, maxTypicalPrompts)
}
