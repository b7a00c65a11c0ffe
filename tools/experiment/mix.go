package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// mix is a mixture of kinds of requests, from which arrivals are drawn.
type mix struct {
	name       string
	components []component
}

const (
	teamCount   = 10
	weightScale = 100 // factor before truncation to integers, which keeps small weights precise
)

// mixes returns the mixes that are compared: script drafts with short checks of notes, shift
// summaries with short checks of quality, and a few large teams with long-tailed lengths.
func mixes() []mix {
	scripts, summaries := mix{name: "stemmebu"}, mix{name: "kilima"}
	for i := range teamCount {
		team := core.TeamID(fmt.Sprintf("team%d", i))
		share := 1 / float64(i+1)
		scripts.components = append(scripts.components,
			component{team, "draft", share * 0.7, 400, 0.5, 350, 0.9},
			component{team, "check", share * 0.3, 200, 0.3, 30, 0.5})
		summaries.components = append(summaries.components,
			component{team, "summary", share * 0.6, 1500, 0.5, 700, 0.7},
			component{team, "check", share * 0.4, 600, 0.3, 25, 0.5})
	}
	large := mix{name: "large-teams", components: []component{
		{"studio", "draft", 0.35, 500, 0.6, 600, 1.2},
		{"office", "summary", 0.25, 2000, 0.5, 500, 0.8},
		{"batch", "draft", 0.15, 300, 0.5, 1200, 1.0},
		{"small1", "check", 0.10, 200, 0.3, 30, 0.5},
		{"small2", "draft", 0.10, 400, 0.5, 350, 0.9},
		{"small3", "summary", 0.05, 1500, 0.5, 700, 0.7},
	}}
	return []mix{scripts, summaries, large}
}

// arrivals draws requests with exponential interarrival times up to the end time.
func (m *mix) arrivals(seed uint64, perSecond float64, end time.Duration) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, c := range m.components {
		total += c.share
	}
	var requests []*request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > end {
			return requests
		}
		c := m.pickComponent(random.Float64() * total)
		requests = append(requests, &request{
			index: len(requests), arrival: at, team: c.team, class: c.class,
			prompt: c.prompt(random), output: c.output(random),
		})
	}
}

// pickComponent returns the component for a number below the sum of the shares.
func (m *mix) pickComponent(at float64) *component {
	for i := range m.components {
		if at -= m.components[i].share; at < 0 {
			return &m.components[i]
		}
	}
	return &m.components[len(m.components)-1]
}

// teamWeights returns the teams' weights, in proportion to the tokens that each team requests.
// Under overload all teams are then refused at the same rate, as with FIFO order.
func (m *mix) teamWeights() map[core.TeamID]int {
	weights := map[core.TeamID]int{}
	for _, c := range m.components {
		perRequest := c.promptMedian*math.Exp(c.promptSigma*c.promptSigma/2) + c.outputMedian*math.Exp(c.outputSigma*c.outputSigma/2)
		weights[c.team] += int(c.share * perRequest * weightScale)
	}
	return weights
}
