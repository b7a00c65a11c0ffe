package pace

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// poolCurve is what is known of the engines of a pool together.
type poolCurve struct {
	seen    moments // divided by the engines' factors, with poolHalfLife
	curve   Curve   // time between events of an average engine
	late    lateCurve
	harm    promptHarm
	limit   memoryLimit
	factors float64 // sum over the pool's engines, while they are refreshed
	engines float64
}

func newPoolCurve(now time.Duration) *poolCurve {
	return &poolCurve{seen: moments{at: now}, late: newLateCurve(now), harm: newPromptHarm(now), limit: newMemoryLimit(now)}
}

// refresh fits the curve anew.
func (p *poolCurve) refresh(now time.Duration) {
	p.seen.decay(now, poolHalfLife)
	p.late.refresh(now)
	p.harm.refresh(now)
	p.limit.recover(now)
	p.curve, p.factors, p.engines = Curve{}, 0, 0
	if p.seen.w >= minPoolEvents {
		p.curve = p.seen.fit()
	}
}

// lateShare returns the share of late pauses at an engine with a factor while the given mean of prompts is pending. The
// times with more and with fewer prompts are weighed apart, since most late pauses come in the former.
func (p *poolCurve) lateShare(requests int, prompts, factor, goal float64) float64 {
	fewer := math.Floor(prompts)
	at := func(count float64) float64 {
		return p.late.share(factor * p.curve.At(Load{Requests: requests, PendingPrefill: core.Tokens(count * promptScale)}) / goal)
	}
	more := prompts - fewer
	return (1-more)*at(fewer) + more*at(fewer+1)
}

// rescale multiplies the curve.
func (p *poolCurve) rescale(by float64) {
	p.seen.y, p.seen.x1y, p.seen.x2y = p.seen.y*by, p.seen.x1y*by, p.seen.x2y*by
	p.curve = Curve{Base: p.curve.Base * by, PerRequest: p.curve.PerRequest * by, PerPrompt: p.curve.PerPrompt * by}
}
