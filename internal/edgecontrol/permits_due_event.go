package edgecontrol

import "siskintide.example/siskintide/internal/core"

// permitsDueEvent reports that a permit of a pool's limited targets may have been issued, or that a
// request cannot wait for one any longer.
type permitsDueEvent struct {
	pool core.PoolID
}

func (e permitsDueEvent) apply(s *state) {
	delete(s.permitTimers, e.pool)
	s.servePermitWaiters(e.pool)
}
