package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/pool"
)

// executeOwnership carries out the effects of the ownership machine.
func (s *state) executeOwnership(effects []ownership.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ownership.ReadRows:
			s.effects.ReadRows(e)
		case ownership.CommitRows:
			s.effects.CommitRows(e)
		case ownership.Acquired:
			s.handleAcquired(e.Target, now)
		case ownership.Lost:
			s.handleLost(e.Target, now)
		}
	}
}

// handleAcquired starts to issue tickets for a target that this host now owns.
func (s *state) handleAcquired(id core.TargetID, now time.Time) {
	s.dirty = true
	s.log.WithField("target", id).Info("target acquired")
	s.polls[id] = &poll{}
	s.refreshTarget(id, now)
	s.inheritLimit(id, now)
	s.setDesiredVersion(id, now)
}

// handleLost stops issuing tickets for a target that this host no longer owns.
func (s *state) handleLost(id core.TargetID, now time.Time) {
	s.dirty = true
	s.log.WithField("target", id).Info("target lost")
	delete(s.polls, id)
	delete(s.orders, id) // the next owner continues the orders, with the load slot if the target holds it
	p := s.targetPools[id]
	delete(s.targetPools, id)
	if p != "" {
		s.executePool(s.pools[p].RemoveTarget(id, now), now)
		s.retireIfEmpty(p, now)
	}
}

// refreshTarget passes the declaration of an owned target to its pool.
func (s *state) refreshTarget(id core.TargetID, now time.Time) {
	target := s.catalog.Target(id)
	if target == nil {
		return
	}
	kind := s.catalog.Kind(target.Kind)
	fence, owned := s.ownership.Owns(id, now)
	if kind == nil || !owned {
		return
	}
	s.leaveFormerPool(id, target.Pool(), now)
	p := s.pool(target.Pool())
	s.targetPools[id] = target.Pool()
	s.executePool(p.SetTarget(*target, *kind, fence, s.acceptsWork(id), now), now)
}

// leaveFormerPool removes a target from its old pool if it now belongs to another one.
func (s *state) leaveFormerPool(id core.TargetID, next core.PoolID, now time.Time) {
	former := s.targetPools[id]
	if former == "" || former == next {
		return
	}
	s.executePool(s.pools[former].RemoveTarget(id, now), now)
	s.retireIfEmpty(former, now)
}

// pool returns a pool and creates it on first use.
func (s *state) pool(id core.PoolID) *pool.Pool {
	p := s.pools[id]
	if p == nil {
		p = pool.New(id, s.self.ID, s.poolSettings(id))
		s.pools[id] = p
		s.configurePool(id, p)
	}
	return p
}

// retireIfEmpty retires a pool in which this host owns no target any more.
func (s *state) retireIfEmpty(id core.PoolID, now time.Time) {
	for _, other := range s.targetPools {
		if other == id {
			return
		}
	}
	s.retirePool(id, now)
}

// poolOf returns the pool of an owned target, or nil.
func (s *state) poolOf(id core.TargetID) *pool.Pool { return s.pools[s.targetPools[id]] }
