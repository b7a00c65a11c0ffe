package pace

import (
	"maps"
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// poolHalfLife is the time in which what was seen of a pool loses half of its weight. The shape of the curve
	// hardly changes.
	poolHalfLife = 15 * time.Second
	// minPoolEvents is the weight from which a pool's curve is used.
	minPoolEvents = 50
	// engineTTL is the time after which an engine without reports is forgotten.
	engineTTL = time.Minute
	// preemptionShare is how many times as long as the goal a pause is from which it counts as a preemption: an
	// engine takes a third of a second and more to read a preempted generation in again.
	preemptionShare = 1.5
	// poolCutWeight is how far a preemption at one engine lowers the limit of the pool's other engines.
	poolCutWeight = 0.75
	// prefillTokensPerEvent is the number of prompt tokens that an engine reads in between two events.
	prefillTokensPerEvent = 400
	// maxEvents bounds the events of one report.
	maxEvents = 10_000
	// maxGap bounds the mean time between events of one report.
	maxGap = 5 * time.Second
)

// Tracker learns the pace of engines. The time between events of an engine is its factor times the curve of its
// pool. It is not safe for concurrent use.
type Tracker struct {
	engines map[core.TargetID]*engine
	pools   map[core.PoolID]*poolCurve
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{engines: map[core.TargetID]*engine{}, pools: map[core.PoolID]*poolCurve{}}
}

// Record adds what was seen of an engine under a load. If a preemption has lowered the engine's memory limit,
// it returns the limit, otherwise zero.
func (t *Tracker) Record(pool core.PoolID, target core.TargetID, sums Sums, load Load, now time.Duration) float64 {
	sums = sums.bounded()
	if sums.Events == 0 || sums.Goal <= 0 {
		return 0
	}
	p, e := t.pools[pool], t.engines[target]
	if p == nil {
		p = newPoolCurve(now)
		t.pools[pool] = p
	}
	if e == nil || e.pool != pool {
		e = newEngine(pool, load, now)
		t.engines[target] = e
	}
	// The events were seen between the former report and this one.
	between := Load{Requests: (e.last.Requests + load.Requests + 1) / 2, PendingPrefill: (e.last.PendingPrefill + load.PendingPrefill) / 2, MemoryShare: max(e.last.MemoryShare, load.MemoryShare)}
	e.last, e.seenAt = load, now
	mean := milliseconds(sums.Time) / float64(sums.Events)
	e.decay(now)
	e.seen.add(float64(sums.Events), between, mean)
	e.recent.add(float64(sums.Events), between, mean)
	e.late += float64(sums.Late)
	p.seen.decay(now, poolHalfLife)
	p.seen.add(float64(sums.Events), between, mean/e.factor)
	lowered := 0.0
	if e.confirmPreemption(sums, now) {
		e.limit.cut(e.suspect, 1, now)
		p.limit.cut(e.suspect, poolCutWeight, now)
		e.suspect, lowered = 0, e.limit.share
	}
	if float64(sums.Longest) >= preemptionShare*float64(sums.Goal) {
		e.suspectPreemption(between, now)
		sums.Late, sums.LateStreams = 0, 0 // steps do not explain it
	}
	p.harm.record(e.promptFactor, sums.LateStreams)
	if p.curve.Known() {
		p.late.add(e.factor*p.curve.At(between)/milliseconds(sums.Goal), sums.Events, sums.Late)
	}
	return lowered
}

// RecordPrompt records that a prompt was placed at an engine that had a load without it.
func (t *Tracker) RecordPrompt(pool core.PoolID, target core.TargetID, load Load, prompt core.Tokens, now time.Duration) {
	p, e := t.pools[pool], t.engines[target]
	if p == nil || prompt <= 0 {
		return // no reports yet
	}
	if e == nil || e.pool != pool {
		e = newEngine(pool, load, now)
		t.engines[target] = e
	}
	e.recordPrompt(prompt, now)
	p.harm.expose(e.promptFactor, load.Requests, prompt)
}

// Refresh ages all that is known, and computes curves and factors anew.
func (t *Tracker) Refresh(now time.Duration) {
	maps.DeleteFunc(t.pools, func(_ core.PoolID, p *poolCurve) bool { return now-p.seen.at >= engineTTL })
	maps.DeleteFunc(t.engines, func(_ core.TargetID, e *engine) bool { return now-e.seenAt >= engineTTL || t.pools[e.pool] == nil })
	for _, p := range t.pools {
		p.refresh(now)
	}
	for _, e := range t.engines {
		p := t.pools[e.pool]
		e.decay(now)
		e.refresh(p, now)
		if e.reported() {
			p.factors, p.engines = p.factors+e.factor, p.engines+1
		}
	}
	// Factors and curve are only known up to a constant. It is chosen such that the mean factor is 1.
	for _, p := range t.pools {
		if p.engines > 0 && p.curve.Known() {
			p.rescale(p.factors / p.engines)
		}
	}
	for _, e := range t.engines {
		e.refresh(t.pools[e.pool], now)
	}
}

// Summary returns what is known of the engines of a pool. It returns false if that is too little.
func (t *Tracker) Summary(pool core.PoolID) (Summary, bool) {
	p := t.pools[pool]
	if p == nil || !p.curve.Known() {
		return Summary{}, false
	}
	summary := Summary{Mean: p.curve, Slowest: 1, Fastest: 1, LowestLimit: p.limit.share}
	for _, e := range t.engines {
		if e.pool == pool && e.reported() {
			summary.Engines++
			summary.Slowest, summary.Fastest = max(summary.Slowest, e.factor), min(summary.Fastest, e.factor)
			summary.LowestLimit = min(summary.LowestLimit, e.limit.share)
			summary.MostHarm = max(summary.MostHarm, e.usualHarm)
		}
	}
	return summary, true
}

// Forget drops what is known of an engine that has restarted or is gone.
func (t *Tracker) Forget(target core.TargetID) { delete(t.engines, target) }

// Forecast returns what a stream would meet and cause at an engine that has a load without it. An engine that is
// not known counts as average. It returns false if too little is known of the pool.
func (t *Tracker) Forecast(pool core.PoolID, target core.TargetID, load Load, stream Stream) (Forecast, bool) {
	p := t.pools[pool]
	if p == nil || !p.curve.Known() || stream.Goal <= 0 {
		return Forecast{}, false
	}
	f := Forecast{Factor: 1, MemoryLimit: p.limit.share}
	typical, perSecond, usualHarm, currentHarm := 0.0, 0.0, p.harm.rates[averageBucket], p.harm.rates[averageBucket]
	if e := t.engines[target]; e != nil && e.pool == pool {
		f.Factor, f.Trouble, f.MemoryLimit = e.factor, e.trouble, min(e.limit.share, f.MemoryLimit)
		typical, perSecond, usualHarm, currentHarm = e.typicalPrompts(), e.perSecond, e.usualHarm, e.currentHarm
	}
	goal := milliseconds(stream.Goal)
	before := f.Factor * p.curve.At(load)
	reading := Load{Requests: load.Requests + 1, PendingPrefill: load.PendingPrefill + stream.Prompt}
	f.Pause = f.Factor * p.curve.At(reading)
	f.Late = atLeastOnce(p.lateShare(load.Requests+1, typical, f.Factor, goal), float64(stream.Events))
	seconds := before * float64(stream.Events) / 1000
	f.Late = max(f.Late, atLeastOnce(usualHarm, perSecond*seconds))
	more := p.late.share(f.Pause/goal) - p.late.share(before/goal)
	f.Caused = atLeastOnce(more, float64(stream.Prompt)/prefillTokensPerEvent)
	f.Caused = float64(load.Requests) * max(f.Caused, min(currentHarm*prompts(stream.Prompt), 1))
	return f, true
}

// atLeastOnce returns the probability that something with a small probability occurs at least once in n times.
func atLeastOnce(probability, n float64) float64 {
	if probability <= 0 || n <= 0 {
		return 0
	}
	return 1 - math.Exp(-probability*n)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
