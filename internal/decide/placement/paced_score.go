package placement

import "time"

// pacedScore scores candidates with their pace, and finds the one with the lowest score without it.
type pacedScore struct {
	balancer *Balancer
	cheapest *Candidate
	lowest   float64
}

func (p *pacedScore) score(c *Candidate, request Request, now time.Duration) float64 {
	value := p.balancer.score(c, request, now)
	if p.cheapest == nil || value < p.lowest {
		p.cheapest, p.lowest = c, value
	}
	return value + p.balancer.paceCost(c, request)
}

// avoided returns the target that has been passed over for its pace, or none. Of targets with equal scores, none was
// passed over.
func (p *pacedScore) avoided(chosen *Candidate, request Request, now time.Duration) Candidate {
	if p.cheapest == nil || p.cheapest.Target == chosen.Target || p.balancer.score(chosen, request, now) <= p.lowest {
		return Candidate{}
	}
	return *p.cheapest
}
