package main

// leastOutstanding sends each request at once to the engine with the fewest outstanding
// streams.
type leastOutstanding struct {
	simulation *simulation
}

func (p *leastOutstanding) attach(s *simulation) { p.simulation = s }

func (p *leastOutstanding) arrived(r *request) {
	p.simulation.send(leastLoaded(p.simulation.engines), r)
}

// leastLoaded returns the index of the engine with the fewest outstanding streams.
func leastLoaded(engines []*engine) int {
	best := 0
	for i, e := range engines {
		if e.outstanding() < engines[best].outstanding() {
			best = i
		}
	}
	return best
}

func (p *leastOutstanding) firstToken(*request) {}

func (p *leastOutstanding) finished(*request) {}
