package main

import (
	"math"
	"math/rand/v2"

	"siskintide.example/siskintide/internal/core"
)

// component is one kind of request in a mix. Prompt and output lengths are log-normal.
type component struct {
	team         core.TeamID
	class        core.Class
	share        float64 // of the requests, relative to the other components
	promptMedian float64 // tokens
	promptSigma  float64 // standard deviation of the logarithm
	outputMedian float64 // tokens
	outputSigma  float64 // standard deviation of the logarithm
}

func (c *component) prompt(random *rand.Rand) int {
	return clamp(c.promptMedian*math.Exp(c.promptSigma*random.NormFloat64()), 16, 6000)
}

func (c *component) output(random *rand.Rand) int {
	return clamp(c.outputMedian*math.Exp(c.outputSigma*random.NormFloat64()), 1, maxOutputTokens)
}

func clamp(value, low, high float64) int { return int(min(max(value, low), high)) }
