package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/weights"
)

// setDesiredVersion makes the declared version the desired one of an owned engine.
func (s *state) setDesiredVersion(id core.TargetID, now time.Time) {
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
	kind := s.catalog.Kind(target.Kind)
	o.machine.SetChecksFences(kind != nil && kind.ChecksFences)
	s.executeOrders(id, o, o.machine.SetDesired(s.desiredVersion(target), s.fitsTwoVersions(target), now), now)
}

func (s *state) desiredVersion(target *core.Target) orders.Version {
	version := target.Version
	if model := s.catalog.Model(target.Model); version == "" && model != nil {
		version = model.Version
	}
	return orders.Version{Model: target.Model, Version: version}
}

// fitsTwoVersions reports whether the engine has memory for two versions of its model at a time.
func (s *state) fitsTwoVersions(target *core.Target) bool {
	model, kind := s.catalog.Model(target.Model), s.catalog.Kind(target.Kind)
	return model != nil && kind != nil && 2*model.WeightBytes <= kind.WeightBytes
}

// tickOrders advances the version changes of all owned engines under the current lease.
func (s *state) tickOrders(now time.Time) {
	until := s.ownership.LeaseExpiresAt()
	for id, o := range s.orders {
		s.executeOrders(id, o, o.machine.SetOldStreams(o.oldStreams.Count(), now), now)
		s.executeOrders(id, o, o.machine.SetOwnership(o.fence, until, now), now)
		if !o.retryReleaseAt.IsZero() && !now.Before(o.retryReleaseAt) {
			s.releaseLoadSlot(id, o)
		}
	}
}

// updateOldStreams updates which streams of a former version an engine still runs.
func (s *state) updateOldStreams(report core.LoadReport, now time.Time) {
	if o := s.orders[report.Target]; o != nil {
		o.oldStreams.HandleReport(report, s.openTickets(report.Target), now)
	}
}

func (s *state) openTickets(id core.TargetID) []core.GenerationID {
	if p := s.poolOf(id); p != nil {
		return p.Tickets(id)
	}
	return nil
}

// executeOrders carries out the effects of one engine's order machine.
func (s *state) executeOrders(id core.TargetID, o *engineOrders, effects []orders.Effect, now time.Time) {
	target := s.catalog.Target(id)
	if target == nil {
		return
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case orders.ReadState:
			s.effects.ReadEngine(*target, o.fence, e.ID)
		case orders.SendOrder:
			s.log.WithField("target", id).WithField("order", e.Kind).WithField("version", e.Version.Version).Info("order to an engine")
			s.effects.SendOrder(*target, e)
		case orders.AcquireLoadSlot:
			s.acquireLoadSlot(id, o, now)
		case orders.ReleaseLoadSlot:
			s.releaseLoadSlot(id, o)
		case orders.StopNewWork:
			s.stopNewWork(id, o, now)
		case orders.SwitchVersion:
			s.switchVersion(id, o, e, now)
		}
	}
}

// acquireLoadSlot requests the load slot. While a release is in flight the request is denied,
// because that release could free the slot again after it was acquired.
func (s *state) acquireLoadSlot(id core.TargetID, o *engineOrders, now time.Time) {
	if o.releasing {
		s.executeOrders(id, o, o.machine.HandleLoadSlot(false, now), now)
		return
	}
	o.retryReleaseAt = time.Time{}
	s.effects.AcquireLoadSlot(s.loadSlotClaim(id, o))
}

// releaseLoadSlot releases the load slot if the target holds it. At most one release is in
// flight.
func (s *state) releaseLoadSlot(id core.TargetID, o *engineOrders) {
	if o.releasing {
		return
	}
	o.releasing = true
	o.retryReleaseAt = time.Time{}
	s.effects.ReleaseLoadSlot(s.loadSlotClaim(id, o))
}

func (s *state) loadSlotClaim(id core.TargetID, o *engineOrders) weights.Claim {
	return weights.Claim{Target: id, Fence: o.fence, Declared: s.localTargets()}
}

// stopNewWork sends no new work to an engine that has no memory for two versions at a time.
func (s *state) stopNewWork(id core.TargetID, o *engineOrders, now time.Time) {
	o.stopped = true
	s.refreshTarget(id, now)
	s.trackOldStreams(id, o, now)
}

// switchVersion sends new work to the version that is ready. It also releases the load
// slot, which a former owner of the target may have acquired.
func (s *state) switchVersion(id core.TargetID, o *engineOrders, e orders.SwitchVersion, now time.Time) {
	s.log.WithField("target", id).WithField("version", e.Version.Version).Info("version ready")
	o.stopped = false
	s.refreshTarget(id, now)
	s.releaseLoadSlot(id, o)
	s.trackOldStreams(id, o, now)
}

// trackOldStreams counts the streams that run now as streams of a former version.
func (s *state) trackOldStreams(id core.TargetID, o *engineOrders, now time.Time) {
	o.oldStreams.Reset(s.openTickets(id), now)
	s.executeOrders(id, o, o.machine.SetOldStreams(o.oldStreams.Count(), now), now)
}

// acceptsWork reports whether an owned target may get new work.
func (s *state) acceptsWork(id core.TargetID) bool {
	o := s.orders[id]
	return s.catalog.Accepts(id) && (o == nil || !o.stopped)
}
