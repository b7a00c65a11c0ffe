package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	warmUp         = 120 * time.Second // of simulated time, not measured
	saturationRate = 40.0              // requests a second for each engine, enough to saturate it
	minTokenShare  = 0.98              // share of least outstanding's completed tokens that a policy must reach
)

// staticLimits are the limits from which the best static limit is chosen.
var staticLimits = []int{6, 8, 10, 12, 14, 16, 20, 24, 28, 32, 36, 40, 48, 56, 64}

// comparison runs all policies on the mixes and loads, with the same arrivals for each.
type comparison struct {
	seed         uint64
	measuredTime time.Duration // simulated time that is measured
	workers      int           // concurrent runs
	onlyMix      string        // name of the only mix to run; empty means all
}

// measureCapacity returns the capacity for a mix in requests a second: the tokens a second
// that least outstanding completes under saturation, divided by the mean tokens of a request.
func (c *comparison) measureCapacity(m *mix) float64 {
	arrivals := m.arrivals(c.seed, saturationRate*engineCount, warmUp+c.measuredTime)
	tokens := 0
	for _, r := range arrivals {
		tokens += r.output
	}
	perRequest := float64(tokens) / float64(len(arrivals))
	measured := simulate(&leastOutstanding{}, arrivals, warmUp, warmUp+c.measuredTime).result
	return float64(measured.CompletedTokens) / c.measuredTime.Seconds() / perRequest
}

// comparePolicies runs all policies on one mix at a load given in percent of the capacity
// rate. Its results are in the order that printGoals expects.
func (c *comparison) comparePolicies(m *mix, capacity float64, load int) []result {
	policies := map[string]policy{
		"round robin":       &roundRobin{},
		"least outstanding": &leastOutstanding{},
		"siskintide":        newSiskintidePolicy(m),
		"clairvoyant":       &clairvoyant{},
	}
	for _, limit := range staticLimits {
		policies[fmt.Sprintf("static limit %d", limit)] = &staticLimit{limit: limit}
	}
	byPolicy := c.runAll(policies, m, capacity*float64(load)/100)
	for name, r := range byPolicy {
		r.Mix, r.LoadPercent, r.Policy = m.name, load, name
		byPolicy[name] = r
	}
	return []result{
		byPolicy["round robin"], byPolicy["least outstanding"], bestStaticLimit(byPolicy), byPolicy["siskintide"], byPolicy["clairvoyant"],
	}
}

// runAll runs the policies on the same arrivals, as many at a time as there are workers.
func (c *comparison) runAll(policies map[string]policy, m *mix, perSecond float64) map[string]result {
	type namedResult struct {
		name   string
		result result
	}
	results := make(chan namedResult)
	slots := make(chan struct{}, c.workers)
	var running sync.WaitGroup
	for name, p := range policies {
		running.Go(func() {
			slots <- struct{}{}
			arrivals := m.arrivals(c.seed, perSecond, warmUp+c.measuredTime)
			measured := simulate(p, arrivals, warmUp, warmUp+c.measuredTime).result
			<-slots
			results <- namedResult{name, measured}
		})
	}
	go func() {
		running.Wait()
		close(results)
	}()
	byPolicy := map[string]result{}
	for r := range results {
		byPolicy[r.name] = r.result
	}
	return byPolicy
}

// bestStaticLimit returns the result with the least stall among the static limits that
// complete at least minTokenShare of least outstanding's tokens. If there is none, it returns
// the result with the most tokens.
func bestStaticLimit(byPolicy map[string]result) result {
	minTokens := minTokenShare * float64(byPolicy["least outstanding"].CompletedTokens)
	var best result
	for _, limit := range staticLimits {
		r := byPolicy[fmt.Sprintf("static limit %d", limit)]
		if best.Policy == "" || betterStatic(r, best, minTokens) {
			best = r
		}
	}
	return best
}

// betterStatic reports whether a is better than b by the rule of bestStaticLimit.
func betterStatic(a, b result, minTokens float64) bool {
	aQualifies, bQualifies := float64(a.CompletedTokens) >= minTokens, float64(b.CompletedTokens) >= minTokens
	if aQualifies != bQualifies {
		return aQualifies
	}
	if !aQualifies {
		return a.CompletedTokens > b.CompletedTokens
	}
	return a.StallMSPerRequest < b.StallMSPerRequest
}
