package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// rolloutBehindTime is how long the store may have an older record than this host until it is written again, as
// after a restoration from a copy.
const rolloutBehindTime = time.Second

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
