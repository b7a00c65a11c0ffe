package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/weights"
)

// orderTarget tells an owned engine's orders which version is declared.
func (s *state) orderTarget(id core.TargetID, now time.Time) {
	target := s.catalog.Target(id)
	fence, owned := s.ownership.Owns(id, now)
	if target == nil || target.Model == "" || !owned {
		return
	}
	o := s.orders[id]
	if o == nil || o.fence != fence {
		o = &engineOrders{machine: orders.New(s.orderTiming), fence: fence}
		s.orders[id] = o
	}
	s.executeOrders(id, o, o.machine.SetDesired(s.wantedVersion(target), s.besides(target), now), now)
}

func (s *state) wantedVersion(target *core.Target) orders.Version {
	version := target.Version
	if model := s.catalog.Model(target.Model); version == "" && model != nil {
		version = model.Version
	}
	return orders.Version{Model: target.Model, Version: version}
}

// besides reports whether the engine holds two versions of its model at a time.
func (s *state) besides(target *core.Target) bool {
	model, kind := s.catalog.Model(target.Model), s.catalog.Kind(target.Kind)
	return model != nil && kind != nil && 2*model.WeightBytes <= kind.WeightBytes
}

// tickOrders goes on with the orders of all owned engines under the present lease.
func (s *state) tickOrders(now time.Time) {
	until := s.ownership.LeaseExpiresAt()
	for id, o := range s.orders {
		s.executeOrders(id, o, o.machine.SetOldStreams(o.former.Count(), now), now)
		s.executeOrders(id, o, o.machine.SetOwnership(o.fence, until, now), now)
		if !o.giveAgain.IsZero() && !now.Before(o.giveAgain) {
			s.giveSlot(id, o)
		}
	}
}

// reportOrders takes in which streams an engine still runs.
func (s *state) reportOrders(report core.LoadReport, now time.Time) {
	if o := s.orders[report.Target]; o != nil {
		o.former.HandleReport(report, s.openTickets(report.Target), now)
	}
}

func (s *state) openTickets(id core.TargetID) []core.GenerationID {
	if p := s.poolOf(id); p != nil {
		return p.Tickets(id)
	}
	return nil
}

// executeOrders carries out the effects of one engine's orders.
func (s *state) executeOrders(id core.TargetID, o *engineOrders, effects []orders.Effect, now time.Time) {
	target := s.catalog.Target(id)
	if target == nil {
		return
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case orders.ReadState:
			s.ports.ReadEngine(*target, o.fence, e.ID)
		case orders.SendOrder:
			s.log.WithField("target", id).WithField("order", e.Kind).WithField("version", e.Version.Version).Info("order to an engine")
			s.ports.SendOrder(*target, e)
		case orders.AcquireLoadSlot:
			s.takeSlot(id, o, now)
		case orders.ReleaseLoadSlot:
			s.giveSlot(id, o)
		case orders.StopNewWork:
			s.stopWork(id, o, now)
		case orders.SwitchVersion:
			s.switchVersion(id, o, e, now)
		}
	}
}

// takeSlot asks for the slot. While an attempt to free it is open the answer is no, since
// that attempt could free what is taken now.
func (s *state) takeSlot(id core.TargetID, o *engineOrders, now time.Time) {
	if o.giving {
		s.executeOrders(id, o, o.machine.HandleLoadSlot(false, now), now)
		return
	}
	o.giveAgain = time.Time{}
	s.ports.AcquireLoadSlot(s.claimSlot(id, o))
}

// giveSlot frees the slot if the target holds it; one attempt is open at a time.
func (s *state) giveSlot(id core.TargetID, o *engineOrders) {
	if o.giving {
		return
	}
	o.giving = true
	o.giveAgain = time.Time{}
	s.ports.ReleaseLoadSlot(s.claimSlot(id, o))
}

func (s *state) claimSlot(id core.TargetID, o *engineOrders) weights.Claim {
	return weights.Claim{Target: id, Fence: o.fence, Declared: s.localTargets()}
}

// stopWork lets no new work go to an engine whose versions do not fit beside each other.
func (s *state) stopWork(id core.TargetID, o *engineOrders, now time.Time) {
	o.stopped = true
	s.refreshTarget(id, now)
	s.followFormer(id, o, now)
}

// switchVersion lets new work go to the version that is ready. A slot that a former owner
// of the target took is freed.
func (s *state) switchVersion(id core.TargetID, o *engineOrders, e orders.SwitchVersion, now time.Time) {
	s.log.WithField("target", id).WithField("version", e.Version.Version).Info("version ready")
	o.stopped = false
	s.refreshTarget(id, now)
	s.giveSlot(id, o)
	s.followFormer(id, o, now)
}

// followFormer counts the running streams as streams of a former version from here on.
func (s *state) followFormer(id core.TargetID, o *engineOrders, now time.Time) {
	o.former.Reset(s.openTickets(id), now)
	s.executeOrders(id, o, o.machine.SetOldStreams(o.former.Count(), now), now)
}

// acceptsWork reports whether an owned target may be given new work.
func (s *state) acceptsWork(id core.TargetID) bool {
	o := s.orders[id]
	return s.catalog.Accepts(id) && (o == nil || !o.stopped)
}
