package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/pool"
)

// executeOwnership carries out the effects of owning targets.
func (s *state) executeOwnership(effects []ownership.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ownership.ReadRows:
			s.ports.ReadRows(e)
		case ownership.CommitRows:
			s.ports.CommitRows(e)
		case ownership.Acquired:
			s.acquired(e.Target, now)
		case ownership.Lost:
			s.lost(e.Target, now)
		}
	}
}

// acquired starts to issue tickets for a target.
func (s *state) acquired(id core.TargetID, now time.Time) {
	s.dirty = true
	s.log.WithField("target", id).Info("target acquired")
	s.polls[id] = &poll{}
	s.refreshTarget(id, now)
	s.inherit(id, now)
	s.orderTarget(id, now)
}

// lost stops issuing tickets for a target.
func (s *state) lost(id core.TargetID, now time.Time) {
	s.dirty = true
	s.log.WithField("target", id).Info("target lost")
	delete(s.polls, id)
	delete(s.orders, id) // the next owner takes up the orders, and the slot if one is held
	p := s.ownedIn[id]
	delete(s.ownedIn, id)
	if p != "" {
		s.execute(s.pools[p].RemoveTarget(id, now), now)
		s.dropIfEmpty(p, now)
	}
}

// refreshTarget gives an owned target's declaration to its pool.
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
	s.ownedIn[id] = target.Pool()
	s.execute(p.SetTarget(*target, *kind, fence, s.acceptsWork(id), now), now)
}

// leaveFormerPool removes a target that now serves another model from its old pool.
func (s *state) leaveFormerPool(id core.TargetID, next core.PoolID, now time.Time) {
	former := s.ownedIn[id]
	if former == "" || former == next {
		return
	}
	s.execute(s.pools[former].RemoveTarget(id, now), now)
	s.dropIfEmpty(former, now)
}

// pool returns the pool, made on first use.
func (s *state) pool(id core.PoolID) *pool.Pool {
	p := s.pools[id]
	if p == nil {
		p = pool.New(id, s.self.ID, s.poolSettings(id))
		s.pools[id] = p
		s.configurePool(id, p)
	}
	return p
}

// dropIfEmpty forgets a pool without targets, and tells peers that it takes nothing.
func (s *state) dropIfEmpty(id core.PoolID, now time.Time) {
	for _, other := range s.ownedIn {
		if other == id {
			return
		}
	}
	s.retire(id, now)
}

// poolOf returns the pool of an owned target, or nil.
func (s *state) poolOf(id core.TargetID) *pool.Pool { return s.pools[s.ownedIn[id]] }
