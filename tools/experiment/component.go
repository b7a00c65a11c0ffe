package main

import (
	"math"
	"math/rand/v2"

	"siskintide.example/siskintide/internal/core"
)

// part is one kind of request in a mix. Lengths are log-normal.
type part struct {
	team         core.TeamID
	class        core.Class
	share        float64 // of the requests
	promptMedian float64 // tokens
	promptSpread float64 // standard deviation of the logarithm
	outputMedian float64 // tokens
	outputSpread float64
}

func (p *part) prompt(random *rand.Rand) int {
	return clamp(p.promptMedian*math.Exp(p.promptSpread*random.NormFloat64()), 16, 6000)
}

func (p *part) output(random *rand.Rand) int {
	return clamp(p.outputMedian*math.Exp(p.outputSpread*random.NormFloat64()), 1, longestOutput)
}

func clamp(value, low, high float64) int { return int(min(max(value, low), high)) }
