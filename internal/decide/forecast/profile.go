package forecast

import (
	"math"

	"siskintide.example/siskintide/internal/core"
)

// horizons lists the points, in tokens of further output of each stream, at which the
// memory is forecast.
var horizons = [...]float64{0, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 8192}

// Profile is the forecast memory of a set of streams at each horizon. It assumes that all
// streams grow by one token at the same pace and release their memory when they end.
type Profile struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
	full     [len(horizons)]float64 // memory held if no stream ends before its limit
}

// Add adds one stream to the set.
func (p *Profile) Add(stream Stream) {
	for i, further := range horizons {
		alive := stream.alive(further)
		if alive <= 0 {
			return
		}
		held := float64(stream.Context) + further
		p.full[i] += held
		p.mean[i] += alive * held
		p.variance[i] += alive * (1 - alive) * held * held
	}
}

// alive returns the probability that the stream still runs after the given number of
// further tokens.
func (s Stream) alive(further float64) float64 {
	if further == 0 {
		return 1
	}
	if float64(s.Output)+further >= float64(s.Limit) {
		return 0
	}
	return s.Survival.Beyond(float64(s.Output), further)
}

// Peak returns the largest forecast over all horizons. The forecast of a horizon is the
// mean plus z standard deviations, but no more than all streams can hold together.
func (p *Profile) Peak(z float64) core.Tokens {
	peak := 0.0
	for i := range p.mean {
		likely := p.mean[i] + z*math.Sqrt(p.variance[i])
		peak = max(peak, min(likely, p.full[i]))
	}
	return core.Tokens(math.Ceil(peak))
}
