package edgecontrol

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/decide/rollout"
)

// rolloutWriteTimeout is the time after which a write is taken for lost if its record has not been read.
const rolloutWriteTimeout = 1500 * time.Millisecond

// newRollouts returns the state of rollouts, or nil if they are not in force.
func newRollouts(options *Options) *rollouts {
	if options.Rollout == nil {
		return nil
	}
	started := uint64(options.Clock())
	return &rollouts{
		options: options.Rollout, self: fmt.Sprintf("%s/%d", options.Self.ID, started), incarnation: started,
		orders: map[core.PoolID]core.RolloutOrder{}, pools: map[core.PoolID]*poolRollout{}, broken: map[core.TargetID]time.Duration{},
	}
}

// tickRollouts makes the decisions on rollouts that are due, if this host is the one that ranks first among those that
// it can reach.
func (s *state) tickRollouts() {
	r := s.rollouts
	if r == nil || s.view.Table == nil || !r.known {
		return
	}
	now := s.now()
	if s.hub == "" && now-r.reportedAt >= hub.RequestInterval {
		r.reportedAt = now
		s.reportToSelf(now)
	}
	if s.hub != "" || !s.hostsKnown || !r.ordersKnown || !r.ownRead || !s.view.RegistryLoaded || !s.ownStoreReads.Within(now, ownReadMaxAge) {
		return
	}
	for i := range s.view.Table.Config.Pools {
		s.decideRollout(s.view.Table.Config.Pools[i].ID, now)
	}
}

// decideRollout makes the decision on one pool.
func (s *state) decideRollout(pool core.PoolID, now time.Duration) {
	p := s.rollout(pool)
	if p.pending != 0 && now-p.pendingAt < rolloutWriteTimeout {
		return
	}
	p.pending = 0
	record, known := p.controller.Record()
	order, ordered := s.rollouts.orders[pool]
	if !ordered && now < s.restoration.noticedAt+2*settlePeriod && s.restoration.noticedAt > 0 {
		return // the operator may write it again
	}
	if known && p.stored.Record.Sequence < record.Sequence {
		s.rewriteRecord(p, record, now)
		return
	}
	p.behindAt = 0
	if known && !record.Phase.Active() && (!ordered || order.Position == record.Order) {
		return
	}
	situation := rollout.Situation{Now: now, StoreTime: now + s.rollouts.clock, Targets: s.versionTargets(pool)}
	if spec := s.view.Table.Pool(pool); spec != nil {
		situation.Streams = spec.Engine != nil
	}
	if ordered {
		situation.Order = &order
	}
	next := p.controller.Next(situation)
	if next == nil {
		return
	}
	next.Pool = pool
	s.writeRecord(p, *next, next.Phase != core.RolloutNone && (next.Phase != record.Phase || next.Order != record.Order), now)
}
