package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// mix is a population of requests.
type mix struct {
	name  string
	parts []part
}

const (
	teamCount   = 10
	weightScale = 100 // keeps small weights precise
)

// mixes returns the populations of the bench: script drafts with quick checks of notes,
// shift summaries with quick checks of quality, and a few large teams with long tails.
func mixes() []mix {
	scripts, summaries := mix{name: "stemmebu"}, mix{name: "kilima"}
	for i := range teamCount {
		team := core.TeamID(fmt.Sprintf("team%d", i))
		share := 1 / float64(i+1)
		scripts.parts = append(scripts.parts,
			part{team, "draft", share * 0.7, 400, 0.5, 350, 0.9},
			part{team, "check", share * 0.3, 200, 0.3, 30, 0.5})
		summaries.parts = append(summaries.parts,
			part{team, "summary", share * 0.6, 1500, 0.5, 700, 0.7},
			part{team, "check", share * 0.4, 600, 0.3, 25, 0.5})
	}
	large := mix{name: "large-teams", parts: []part{
		{"studio", "draft", 0.35, 500, 0.6, 600, 1.2},
		{"office", "summary", 0.25, 2000, 0.5, 500, 0.8},
		{"batch", "draft", 0.15, 300, 0.5, 1200, 1.0},
		{"small1", "check", 0.10, 200, 0.3, 30, 0.5},
		{"small2", "draft", 0.10, 400, 0.5, 350, 0.9},
		{"small3", "summary", 0.05, 1500, 0.5, 700, 0.7},
	}}
	return []mix{scripts, summaries, large}
}

// arrivals draws requests with exponential times between them up to the end.
func (m *mix) arrivals(seed uint64, perSecond float64, end time.Duration) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0.0
	for _, p := range m.parts {
		total += p.share
	}
	var requests []*request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > end {
			return requests
		}
		p := m.draw(random.Float64() * total)
		requests = append(requests, &request{
			index: len(requests), arrival: at, team: p.team, class: p.class,
			prompt: p.prompt(random), output: p.output(random),
		})
	}
}

func (m *mix) draw(at float64) *part {
	for i := range m.parts {
		if at -= m.parts[i].share; at < 0 {
			return &m.parts[i]
		}
	}
	return &m.parts[len(m.parts)-1]
}

// weights returns the teams' weights: each is as large as the share of tokens that the
// team asks for, so that under overload all teams are refused alike, as they are when
// requests are served in order.
func (m *mix) weights() map[core.TeamID]int {
	weights := map[core.TeamID]int{}
	for _, p := range m.parts {
		perRequest := p.promptMedian*math.Exp(p.promptSpread*p.promptSpread/2) + p.outputMedian*math.Exp(p.outputSpread*p.outputSpread/2)
		weights[p.team] += int(p.share * perRequest * weightScale)
	}
	return weights
}
