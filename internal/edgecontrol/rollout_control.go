package edgecontrol

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/decide/rollout"
	"siskintide.example/siskintide/internal/message"
)

const (
	// rolloutWriteTimeout is the time after which a write is taken for lost if its record has not been read.
	rolloutWriteTimeout = 1500 * time.Millisecond
	// rolloutBehindTime is how long the store may have an older record than this host until it is written again, as
	// after a restoration from a copy.
	rolloutBehindTime = time.Second
)

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

// applyRollouts applies what an update has of orders and records.
func (s *state) applyRollouts(update *Update) {
	r := s.rollouts
	if r == nil {
		return
	}
	if update.StoreTime > 0 {
		r.clock = update.StoreTime - s.now()
	}
	if update.Orders != nil {
		r.orders, r.ordersKnown = update.Orders, true
	}
	if update.Rollouts != nil {
		for pool := range s.rollouts.pools {
			if _, ok := update.Rollouts[pool]; !ok {
				s.rollout(pool).stored = RolloutRow{}
			}
		}
		for pool, row := range update.Rollouts {
			s.rollout(pool).stored = row
			s.adoptRecord(row.Record)
		}
		r.ownRead = true
		s.knowRollouts()
	}
}

// knowRollouts records that the records of all pools are known.
func (s *state) knowRollouts() {
	if !s.rollouts.known {
		s.rollouts.known, s.changed = true, true
		s.view.VersionsUnknown = false
	}
}

// adoptRecord takes over a record, unless a newer one is known.
func (s *state) adoptRecord(record core.RolloutRecord) {
	p := s.rollout(record.Pool)
	former, _ := p.controller.Record()
	if p.pending != 0 && record.Sequence >= p.pending {
		p.pending = 0
	}
	if !p.controller.Adopt(record, s.now()) {
		return
	}
	p.exposure.SetRecord(record, s.now())
	if former.Phase == record.Phase && former.Order == record.Order && former.Decider == record.Decider && former.Current == record.Current {
		return // only what the decider has reserved and counted has changed
	}
	s.rollouts.changed, s.changed = append(s.rollouts.changed, record), true
	s.rollouts.options.Metrics.PhaseBegan(record.Pool, record.Phase)
	s.log.WithField("pool", record.Pool).WithField("phase", record.Phase.String()).WithField("former_phase", former.Phase.String()).
		WithField("version", record.Current).WithField("to", record.To).WithField("order_revision", record.Order.Revision).
		WithField("decider", record.Decider).WithField("sequence", record.Sequence).WithField("requests", record.Seen).
		WithField("exposed", record.Used).WithField("reserved", record.Reserved).WithField("judged", record.Judged).
		WithField("failed", record.Failed).WithField("reason", record.Reason).
		WithField("elapsed_ms", (s.now() + s.rollouts.clock - record.StartedAt).Milliseconds()).Info("rollout's state")
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

// rewriteRecord writes a record again that the store has lost.
func (s *state) rewriteRecord(p *poolRollout, record core.RolloutRecord, now time.Duration) {
	if p.behindAt == 0 {
		p.behindAt = now
	}
	if now-p.behindAt < rolloutBehindTime {
		return
	}
	p.behindAt = 0
	s.log.WithField("pool", record.Pool).WithField("sequence", record.Sequence).
		WithField("stored_sequence", p.stored.Record.Sequence).Warn("the store has an older record of a rollout; it is written again")
	record.Sequence++
	s.writeRecord(p, record, record.Phase != core.RolloutNone, now)
}

func (s *state) writeRecord(p *poolRollout, record core.RolloutRecord, announce bool, now time.Duration) {
	p.pending, p.pendingAt = record.Sequence, now
	s.rollouts.options.Write(RolloutWrite{Record: record, Expected: p.stored.Version, Announce: announce})
}

// reportToSelf reports this host's exposure to its own controllers.
func (s *state) reportToSelf(now time.Duration) {
	for _, p := range s.rollouts.pools {
		report, active := p.exposure.Report(now)
		if !active {
			continue
		}
		if quota, ok := p.controller.Report(s.options.Self.ID, report, now); ok {
			p.exposure.Accept(quota, now)
		}
	}
}

// rolloutReports returns the reports of this host that go to the hub with a request.
func (s *state) rolloutReports(now time.Duration) []core.RolloutReport {
	if s.rollouts == nil {
		return nil
	}
	var reports []core.RolloutReport
	for _, p := range s.rollouts.pools {
		if report, active := p.exposure.Report(now); active {
			reports = append(reports, report)
		}
	}
	return reports
}

// rolloutQuotas returns the quotas that answer a subscriber's reports.
func (s *state) rolloutQuotas(from core.HostID, reports []core.RolloutReport) []core.RolloutQuota {
	if s.rollouts == nil {
		return nil
	}
	var quotas []core.RolloutQuota
	for _, report := range reports {
		if p := s.rollouts.pools[report.Pool]; p != nil {
			if quota, ok := p.controller.Report(from, report, s.now()); ok {
				quotas = append(quotas, quota)
			}
		}
	}
	return quotas
}

// acceptQuotas takes over the quotas that answer the reports sent at sentAt.
func (s *state) acceptQuotas(quotas []core.RolloutQuota, sentAt time.Duration) {
	if s.rollouts == nil {
		return
	}
	for _, quota := range quotas {
		if p := s.rollouts.pools[quota.Pool]; p != nil {
			p.exposure.Accept(quota, sentAt)
		}
	}
}

// takeRolloutChanges returns the records that have changed since the last call.
func (s *state) takeRolloutChanges() []core.RolloutRecord {
	if s.rollouts == nil {
		return nil
	}
	changed := s.rollouts.changed
	s.rollouts.changed = nil
	return changed
}

// addAllRollouts adds all records to a first update.
func (s *state) addAllRollouts(m *message.HubUpdate) {
	if s.rollouts == nil || !s.rollouts.known {
		return
	}
	m.HasRollouts = true
	for _, p := range s.rollouts.pools {
		if record, known := p.controller.Record(); known {
			m.Rollouts = append(m.Rollouts, record)
		}
	}
}

// applyHubRollouts applies the records of a hub's update.
func (s *state) applyHubRollouts(m message.HubUpdate) {
	if s.rollouts == nil {
		return
	}
	for _, record := range m.Rollouts {
		if record.Pool != "" {
			s.adoptRecord(record)
		}
	}
	if m.HasRollouts {
		s.knowRollouts()
	}
}
