package pace

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// harmBuckets is the number of buckets by factor; each spans a factor of the square root of two, and the ones at
	// the ends hold all beyond.
	harmBuckets = 8
	// averageBucket is the bucket of a factor of one.
	averageBucket = 3
	// harmHalfLife is the time in which what was seen loses half of its weight. Late streams are rare.
	harmHalfLife = 30 * time.Second
	// priorHarm is the rate where nothing was seen, and harmPrior the number of prompts with a running stream that
	// it counts as.
	priorHarm = 0.02
	harmPrior = 20
)

// promptHarm is how many running streams a prompt of promptScale tokens makes late at engines of some speed, for each
// stream that runs there. It is learned from counts: reports are some hundred milliseconds old, so they do not say
// during which prefill a pause came.
type promptHarm struct {
	exposed, late [harmBuckets]float64 // prompts times running streams; streams that became late
	rates         [harmBuckets]float64 // as of the last refresh
	at            time.Duration
}

func newPromptHarm(now time.Duration) promptHarm {
	h := promptHarm{at: now}
	h.refresh(now)
	return h
}

// harmBucket returns the bucket of an engine's factor.
func harmBucket(factor float64) int {
	return min(max(int(math.Round(2*math.Log2(max(factor, minFactor))))+averageBucket, 0), harmBuckets-1)
}

// expose adds a prompt at an engine with a factor and a number of running requests.
func (h *promptHarm) expose(factor float64, requests int, prompt core.Tokens) {
	h.exposed[harmBucket(factor)] += float64(requests) * prompts(prompt)
}

// record adds streams that became late at an engine whose last prompt came at a factor.
func (h *promptHarm) record(factor float64, streams int) {
	h.late[harmBucket(factor)] += float64(streams)
}

// refresh ages what was seen and computes the rates anew. A slower engine never has a lower rate.
func (h *promptHarm) refresh(now time.Duration) {
	f := math.Exp2(-float64(max(now-h.at, 0)) / float64(harmHalfLife))
	h.at = max(now, h.at)
	for i := range harmBuckets {
		h.exposed[i], h.late[i] = h.exposed[i]*f, h.late[i]*f
		h.rates[i] = (h.late[i] + harmPrior*priorHarm) / (h.exposed[i] + harmPrior)
	}
	raise(h.rates[:], func(i int) float64 { return h.exposed[i] + harmPrior })
}

// rate returns the part of the streams of an engine with a factor that a prompt of promptScale tokens makes late.
func (h *promptHarm) rate(factor float64) float64 { return h.rates[harmBucket(factor)] }

// prompts returns tokens in units of promptScale.
func prompts(tokens core.Tokens) float64 { return float64(tokens) / promptScale }
