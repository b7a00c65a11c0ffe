package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// avoidResting makes a request avoid the targets that have asked this host to send them nothing.
func (s *state) avoidResting(req *PlacementRequest) {
	avoid := req.Request.Avoid[:len(req.Request.Avoid):len(req.Request.Avoid)]
	for id := range s.balancer.Resting(s.now()) {
		avoid = append(avoid, id)
	}
	req.Request.Avoid = avoid
}

// restLeft returns the time until the first target of a pool may be sent requests again if all of them rest,
// otherwise zero.
func (s *state) restLeft(pool core.PoolID) time.Duration {
	resting, least := s.balancer.Resting(s.now()), time.Duration(0)
	for _, candidate := range s.candidates(pool) {
		left, rests := resting[candidate.Target]
		if !rests {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
