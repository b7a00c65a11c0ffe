package edgecontrol

import "siskintide.example/siskintide/internal/core"

// rolloutWrittenEvent is the result of a write of a pool's record. After a success, the record is adopted when it is
// read, so that a write whose response was lost makes no difference.
type rolloutWrittenEvent struct {
	pool     core.PoolID
	sequence uint64
	err      error
}

func (e rolloutWrittenEvent) apply(s *state) {
	if s.rollouts == nil {
		return
	}
	p := s.rollouts.pools[e.pool]
	if p == nil || p.pending != e.sequence {
		return
	}
	if e.err != nil {
		p.pending = 0
		s.log.WithField("pool", e.pool).WithField("sequence", e.sequence).WithError(e.err).Warn("rollout's record was not written")
	}
}
