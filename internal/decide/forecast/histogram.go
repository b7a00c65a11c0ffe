package forecast

import (
	"math"

	"siskintide.example/siskintide/internal/core"
)

const (
	bucketsPerDoubling = 3
	bucketCount        = 17*bucketsPerDoubling + 1 // lengths up to 131,072 tokens
	halfLife           = 400.0                     // number of newer observations that halve an observation's weight
)

// histogram counts observed output lengths in logarithmic buckets. Each new observation
// lowers the weight of the earlier ones.
type histogram struct {
	counts [bucketCount]float64
	total  float64
}

// bucketOf returns the index of the bucket that contains a length.
func bucketOf(length core.Tokens) int {
	if length < 1 {
		return 0
	}
	return min(int(math.Log2(float64(length))*bucketsPerDoubling), bucketCount-1)
}

// bucketEdges holds the lower bound of each bucket, and the upper bound of the last.
var bucketEdges = func() [bucketCount + 1]float64 {
	var edges [bucketCount + 1]float64
	for i := 1; i <= bucketCount; i++ {
		edges[i] = math.Exp2(float64(i) / bucketsPerDoubling)
	}
	return edges
}()

// observe counts the length of one completed output.
func (h *histogram) observe(length core.Tokens) {
	decay := math.Exp2(-1 / halfLife)
	for i := range h.counts {
		h.counts[i] *= decay
	}
	h.total = h.total*decay + 1
	h.counts[bucketOf(length)]++
}

// survival returns the survival function of the observed counts, blended with a fallback
// that weighs as much as the given number of observations.
func (h *histogram) survival(fallback *Survival, weight float64) Survival {
	var s Survival
	left := h.total
	for i := range h.counts {
		s[i] = (max(left, 0) + weight*fallback[i]) / (h.total + weight)
		left -= h.counts[i]
	}
	return s
}
