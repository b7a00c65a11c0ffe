package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// startedEvent reports that the first event of an assignment's generation has arrived.
type startedEvent struct {
	assignment Assignment
}

func (e startedEvent) apply(s *state) {
	s.balancer.Remove(e.assignment.Target.Target, placement.Load{PendingPrefill: e.assignment.load.PendingPrefill})
	s.countStart(e.assignment.rollout)
	s.loadChanged = true
}
