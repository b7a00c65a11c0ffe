package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	warmUp           = 120 * time.Second // of simulated time, not measured
	saturationFactor = 40.0              // requests a second that saturate each engine
	leastTokenShare  = 0.98              // of least outstanding's completed tokens
)

// staticLimits are the settings among which the static limit's best is searched.
var staticLimits = []int{6, 8, 10, 12, 14, 16, 20, 24, 28, 32, 36, 40, 48, 56, 64}

// bench runs all policies on all mixes and loads.
type bench struct {
	seed    uint64
	span    time.Duration // simulated time that is measured
	workers int
	only    string // name of a mix, or empty for all
}

// capacity returns the requests a second whose output least outstanding completes when
// it is saturated.
func (b *bench) capacity(m *mix) float64 {
	arrivals := m.arrivals(b.seed, saturationFactor*engineCount, warmUp+b.span)
	tokens := 0
	for _, r := range arrivals {
		tokens += r.output
	}
	perRequest := float64(tokens) / float64(len(arrivals))
	done := simulate(&leastOutstanding{}, arrivals, warmUp, warmUp+b.span).result
	return float64(done.CompletedTokens) / b.span.Seconds() / perRequest
}

// cell runs all policies on one mix and one load.
func (b *bench) cell(m *mix, rate float64, load int) []result {
	policies := map[string]policy{
		"round robin":       &roundRobin{},
		"least outstanding": &leastOutstanding{},
		"siskintide":        newOwner(m),
		"clairvoyant":       &clairvoyant{},
	}
	for _, limit := range staticLimits {
		policies[fmt.Sprintf("static limit %d", limit)] = &staticLimit{limit: limit}
	}
	found := b.runAll(policies, m, rate*float64(load)/100)
	for name, r := range found {
		r.Mix, r.LoadPercent, r.Policy = m.name, load, name
		found[name] = r
	}
	return []result{
		found["round robin"], found["least outstanding"], bestStatic(found), found["siskintide"], found["clairvoyant"],
	}
}

// runAll runs the policies on the same arrivals, a few at a time.
func (b *bench) runAll(policies map[string]policy, m *mix, perSecond float64) map[string]result {
	type named struct {
		name   string
		result result
	}
	results := make(chan named)
	slots := make(chan struct{}, b.workers)
	var running sync.WaitGroup
	for name, p := range policies {
		running.Go(func() {
			slots <- struct{}{}
			arrivals := m.arrivals(b.seed, perSecond, warmUp+b.span)
			done := simulate(p, arrivals, warmUp, warmUp+b.span).result
			<-slots
			results <- named{name, done}
		})
	}
	go func() {
		running.Wait()
		close(results)
	}()
	found := map[string]result{}
	for r := range results {
		found[r.name] = r.result
	}
	return found
}

// bestStatic returns the static limit with the least stall among those that complete
// nearly as many tokens as least outstanding, else the one that completes most.
func bestStatic(found map[string]result) result {
	enough := leastTokenShare * float64(found["least outstanding"].CompletedTokens)
	var best result
	for _, limit := range staticLimits {
		r := found[fmt.Sprintf("static limit %d", limit)]
		if best.Policy == "" || better(r, best, enough) {
			best = r
		}
	}
	return best
}

func better(a, b result, enough float64) bool {
	aEnough, bEnough := float64(a.CompletedTokens) >= enough, float64(b.CompletedTokens) >= enough
	if aEnough != bEnough {
		return aEnough
	}
	if !aEnough {
		return a.CompletedTokens > b.CompletedTokens
	}
	return a.StallMSPerRequest < b.StallMSPerRequest
}
