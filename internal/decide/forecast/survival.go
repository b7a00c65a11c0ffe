package forecast

import (
	"siskintide.example/siskintide/internal/core"
)

// Survival is a survival function of output lengths. It holds, for the lower bound of
// each length bucket, the share of outputs that are at least that long.
type Survival [bucketCount + 1]float64

// prior is the survival function without any observation: all buckets are equally likely.
var prior = func() Survival {
	var s Survival
	for i := range s {
		s[i] = 1 - float64(i)/bucketCount
	}
	return s
}()

// At returns the share of outputs that are longer than the given number of tokens.
func (s *Survival) At(length float64) float64 {
	if length <= 0 {
		return 1
	}
	i := bucketOf(core.Tokens(length))
	share := (length - bucketEdges[i]) / (bucketEdges[i+1] - bucketEdges[i])
	share = min(max(share, 0), 1)
	return s[i] + (s[i+1]-s[i])*share
}

// Beyond returns the probability that an output that has reached the given length
// continues for more than the given number of further tokens.
func (s *Survival) Beyond(reached, further float64) float64 {
	alive := s.At(reached)
	if alive <= 0 {
		return 1
	}
	return min(s.At(reached+further)/alive, 1)
}

// Remaining returns the expected number of further tokens of an output that has reached
// the given length and ends at limit at the latest.
func (s *Survival) Remaining(reached, limit core.Tokens) core.Tokens {
	alive := s.At(float64(reached))
	if alive <= 0 || reached >= limit {
		return max(limit-reached, 0)
	}
	sum := 0.0
	from := float64(reached)
	for i := bucketOf(reached); i < bucketCount && from < float64(limit); i++ {
		to := min(bucketEdges[i+1], float64(limit))
		sum += (to - from) * (s.At(from) + s.At(to)) / 2
		from = to
	}
	return core.Tokens(sum / alive)
}

// Quantile returns a length that an output that has reached the given length does not
// exceed with at least the given probability.
func (s *Survival) Quantile(reached core.Tokens, probability float64) core.Tokens {
	for i := bucketOf(reached); i < bucketCount; i++ {
		end := bucketEdges[i+1]
		if 1-s.Beyond(float64(reached), end-float64(reached)) >= probability {
			return core.Tokens(end)
		}
	}
	return core.Tokens(bucketEdges[bucketCount])
}
