package main

// roundRobin sends each request to the next engine at once.
type roundRobin struct {
	simulation *simulation
	next       int
}

func (p *roundRobin) attach(s *simulation) { p.simulation = s }

func (p *roundRobin) arrived(r *request) {
	p.simulation.send(p.next, r)
	p.next = (p.next + 1) % engineCount
}

func (p *roundRobin) firstToken(*request) {}

func (p *roundRobin) finished(*request) {}
