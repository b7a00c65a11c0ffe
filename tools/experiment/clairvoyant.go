package main

import (
	"slices"
	"time"
)

// clairvoyant is a policy with perfect information: it uses the output lengths of all requests
// and the current state of the engines. It sends a request to the engine with the lowest
// future peak of memory, if that peak fits.
type clairvoyant struct {
	simulation *simulation
	backlog    backlog
}

func (p *clairvoyant) attach(s *simulation) {
	p.simulation = s
	p.backlog.simulation = s
	s.scheduleEvery(200*time.Millisecond, 0, p.drain)
}

func (p *clairvoyant) arrived(r *request) {
	p.backlog.push(r)
	p.drain()
}

func (p *clairvoyant) drain() {
	p.backlog.drain(func(r *request) bool {
		best, bestPeak := 0, -1
		for i, e := range p.simulation.engines {
			if peak := futurePeak(e, r); bestPeak < 0 || peak < bestPeak {
				best, bestPeak = i, peak
			}
		}
		if bestPeak > engineMemory-engineWatermark {
			return false
		}
		p.simulation.send(best, r)
		return true
	})
}

// futurePeak returns the highest memory use of the engine at any later time if the request
// starts now and no other request follows. All streams grow by one token a step, so the peak
// is reached just before some stream ends.
func futurePeak(e *engine, r *request) int {
	streams := slices.Concat(e.running, e.waiting, []*stream{{request: r}})
	slices.SortFunc(streams, func(a, b *stream) int { return a.remainingTokens() - b.remainingTokens() })
	memory := 0
	for _, s := range streams {
		memory += s.contextTokens()
	}
	peak := memory
	for i, s := range streams {
		peak = max(peak, memory+s.remainingTokens()*(len(streams)-i))
		memory -= s.contextTokens()
	}
	return peak
}

// remainingTokens returns the number of tokens that the stream will still produce.
func (s *stream) remainingTokens() int { return s.request.output - s.output }

func (p *clairvoyant) firstToken(*request) {}

func (p *clairvoyant) finished(*request) { p.drain() }
