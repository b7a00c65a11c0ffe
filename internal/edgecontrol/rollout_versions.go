package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/rollout"
)

// rollout returns the state of a pool's rollouts, creating it on first use.
func (s *state) rollout(pool core.PoolID) *poolRollout {
	r := s.rollouts
	if r.pools[pool] == nil {
		r.pools[pool] = &poolRollout{controller: rollout.NewController(r.self, r.options.Bounds), exposure: rollout.NewExposure(r.incarnation, r.options.Bounds)}
	}
	return r.pools[pool]
}

// mainVersion returns the version to which requests of a pool go that are not exposed to a new one. It returns false
// if no version may be used yet, since the records are not known.
func (s *state) mainVersion(pool core.PoolID) (core.Version, bool) {
	if !s.rollouts.known {
		return "", false
	}
	if v, ok := s.rollout(pool).main(); ok {
		return v, true
	}
	return rollout.InitialVersion(s.versionTargets(pool))
}

// versionTargets sums up the targets of a pool by version.
func (s *state) versionTargets(pool core.PoolID) map[core.Version]rollout.VersionTargets {
	sums := map[core.Version]rollout.VersionTargets{}
	now := s.now()
	for id, entry := range s.view.Targets {
		if entry.Pool != pool {
			continue
		}
		sum, known := sums[entry.Version]
		if !known || entry.Born < sum.Oldest {
			sum.Oldest = entry.Born
		}
		if s.view.Usable(id) {
			sum.Slots += entry.Slots
			if entry.ColdUntil <= now {
				sum.WarmSlots += entry.Slots
			}
		}
		sum.Busy += s.balancer.RequestsAt(id)
		sums[entry.Version] = sum
	}
	return sums
}

// allows reports whether targets of a version of a pool may be used. After a rollback, nothing goes on at the new
// version, and after completion nothing at the old one.
func (s *state) allows(pool core.PoolID, v core.Version) bool {
	if s.rollouts == nil {
		return true
	}
	record, known := s.rollout(pool).controller.Record()
	return !known || record.Allows(v)
}
