package main

import (
	"slices"
	"time"
)

// clairvoyant knows all lengths and engines as they are now. It sends a request to the
// engine with the lowest future peak of memory, if that fits.
type clairvoyant struct {
	simulation *simulation
	backlog    backlog
}

func (p *clairvoyant) attach(s *simulation) {
	p.simulation = s
	p.backlog.simulation = s
	s.every(200*time.Millisecond, 0, p.drain)
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

// futurePeak returns the most memory that the engine will hold at any time if the request
// joins now and nothing else does. Streams grow in step, so the peak is at an end.
func futurePeak(e *engine, r *request) int {
	streams := slices.Concat(e.running, e.waiting, []*stream{{request: r}})
	slices.SortFunc(streams, func(a, b *stream) int { return a.left() - b.left() })
	held := 0
	for _, s := range streams {
		held += s.need()
	}
	peak := held
	for i, s := range streams {
		peak = max(peak, held+s.left()*(len(streams)-i))
		held -= s.need()
	}
	return peak
}

// left returns the tokens that the stream will still produce.
func (s *stream) left() int { return s.request.output - s.output }

func (p *clairvoyant) firstToken(*request) {}

func (p *clairvoyant) finished(*request) { p.drain() }
