package forecast

import (
	"math"

	"siskintide.example/siskintide/internal/core"
)

const (
	bucketsPerDoubling = 3
	bucketCount        = 17*bucketsPerDoubling + 1 // lengths up to 131,072 tokens
	halfLife           = 400.0                     // observations after which an old one counts half
)

// Curve counts observed output lengths in logarithmic buckets. Old observations lose
// weight as new ones come in.
type Curve struct {
	counts [bucketCount]float64
	total  float64
}

// bucketOf returns the bucket that holds a length.
func bucketOf(length core.Tokens) int {
	if length < 1 {
		return 0
	}
	return min(int(math.Log2(float64(length))*bucketsPerDoubling), bucketCount-1)
}

// bucketEdges holds the lowest length of each bucket, and the end of the last.
var bucketEdges = func() [bucketCount + 1]float64 {
	var edges [bucketCount + 1]float64
	for i := 1; i <= bucketCount; i++ {
		edges[i] = math.Exp2(float64(i) / bucketsPerDoubling)
	}
	return edges
}()

// Observe counts one whole output of the given length.
func (c *Curve) Observe(length core.Tokens) {
	decay := math.Exp2(-1 / halfLife)
	for i := range c.counts {
		c.counts[i] *= decay
	}
	c.total = c.total*decay + 1
	c.counts[bucketOf(length)]++
}

// survival returns, for the start of each bucket, the share of outputs that are at
// least so long: the observed counts, blended with a fallback that weighs as much as
// the given number of observations.
func (c *Curve) survival(fallback *Survival, weight float64) Survival {
	var s Survival
	left := c.total
	for i := range c.counts {
		s[i] = (max(left, 0) + weight*fallback[i]) / (c.total + weight)
		left -= c.counts[i]
	}
	return s
}
