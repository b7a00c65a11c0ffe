package main

import "time"

// staticLimit sends a request to the least loaded engine while that engine has fewer
// outstanding streams than a fixed limit. Other requests wait in the backlog.
type staticLimit struct {
	simulation *simulation
	limit      int
	backlog    backlog
}

func (p *staticLimit) attach(s *simulation) {
	p.simulation = s
	p.backlog.simulation = s
	s.scheduleEvery(200*time.Millisecond, 0, p.drain)
}

func (p *staticLimit) arrived(r *request) {
	p.backlog.push(r)
	p.drain()
}

func (p *staticLimit) drain() {
	p.backlog.drain(func(r *request) bool {
		best := leastLoaded(p.simulation.engines)
		if p.simulation.engines[best].outstanding() >= p.limit {
			return false
		}
		p.simulation.send(best, r)
		return true
	})
}

func (p *staticLimit) firstToken(*request) {}

func (p *staticLimit) finished(*request) { p.drain() }
