package edgecontrol

import (
	"maps"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/message"
)

// updateEvent applies new state from the store or the hub.
type updateEvent struct {
	Update
}

func (e updateEvent) apply(s *state) {
	s.followEra(&e.Update)
	if e.Config != nil && (s.view.Table == nil || e.Config.Revision > s.view.Table.Config.Revision) {
		s.log.WithField("revision", e.Config.Revision).WithField("read_age_ms", (s.now() - e.SentAt).Milliseconds()).
			Info("configuration in force")
		s.checkTimeouts(e.Config)
		s.view.Table, s.sharedConfig = routetable.New(e.Config), message.NewShared(e.Config)
		s.changed = true
	}
	if e.Evacuated != nil && !e.configPosition().Before(s.configPosition) {
		s.setEvacuated(s.restoration.evacuated(e.Evacuated, s.now()))
	}
	// A read that lacks changes which this host knows proves nothing, nor does one of a copy that may lack
	// some.
	if e.CoversConfig && !e.configPosition().Before(s.configPosition) && s.provesConfig(&e.Update) {
		s.view.ConfigProof = s.view.ConfigProof.Renew(e.SentAt)
		s.changed = true
	}
	if e.CoversConfig || e.FromHub {
		s.configPosition = s.configPosition.Later(e.configPosition())
	}
	if e.CoversRegistry && !e.registryPosition().Before(s.registry.Position()) {
		s.view.RegistryProof = s.view.RegistryProof.Renew(e.SentAt)
		s.changed = true
		s.ownStoreReads = s.ownStoreReads.Renew(e.SentAt)
	}
	if e.Hosts != nil {
		s.setHosts(e.Hosts)
	}
	s.applyRegistry(e.Update)
	s.applyRollouts(&e.Update)
	if e.CoversConfig || e.CoversRegistry {
		s.responsesDue = true
		if !s.view.ReadsStore {
			s.resubscribe() // the call was under way when the host stopped reading
		}
	}
}

// checkTimeouts logs once for each configuration that its timeouts are out of bounds. They are clamped where they are used.
func (s *state) checkTimeouts(config *core.RoutingConfig) {
	limits := config.Limits
	if timeouts, clamped := callerbudget.TimeoutsOf(limits.HeaderTimeout, limits.IdleTimeout); clamped {
		s.log.WithField("revision", config.Revision).
			WithField("header_timeout_ms", limits.HeaderTimeout.Milliseconds()).WithField("idle_timeout_ms", limits.IdleTimeout.Milliseconds()).
			WithField("used_header_timeout_ms", timeouts.Header.Milliseconds()).WithField("used_idle_timeout_ms", timeouts.Idle.Milliseconds()).
			Warn("timeouts of the configuration are out of bounds")
	}
}

func (s *state) setEvacuated(evacuated map[core.DataCentreID]bool) {
	if s.view.Evacuated != nil && maps.Equal(evacuated, s.view.Evacuated) {
		return
	}
	for id := range evacuated {
		if !s.view.Evacuated[id] {
			s.log.WithField("data_centre", id).Info("data centre evacuated")
		}
	}
	for id := range s.view.Evacuated {
		if !evacuated[id] {
			s.log.WithField("data_centre", id).Info("data centre taken back")
		}
	}
	s.view.Evacuated = evacuated
	s.changed = true
}

// applyRegistry applies new, changed and removed entries of the registry.
func (s *state) applyRegistry(update Update) {
	if update.CoversRegistry || update.FromHub {
		defer s.registry.Advance(update.registryPosition())
	}
	if !update.FullRegistry && len(update.Registrations) == 0 && len(update.Removed) == 0 {
		return
	}
	now := s.now()
	for _, registration := range update.Registrations {
		if !s.registry.Superseded(registration) {
			s.recordRegistration(registration)
		}
	}
	switch {
	case update.FullRegistry && update.FromHub:
		s.registry.ReplaceNow(update.Registrations, update.registryPosition(), now)
	case update.FullRegistry:
		s.registry.Replace(update.Registrations, update.registryPosition(), now)
	default:
		for _, registration := range update.Registrations {
			s.registry.Put(registration, now)
		}
	}
	s.view.RegistryLoaded = s.view.RegistryLoaded || update.FullRegistry
	for _, removal := range update.Removed {
		s.log.WithField("target", removal.Target).WithField("row_revision", removal.Revision).Info("target's entry removed")
		if update.FromHub {
			s.registry.RemoveNow(removal, now)
		} else {
			s.registry.Remove(removal, now)
		}
		s.balancer.ForgetRemoved(removal.Target)
	}
	s.registryChanged, s.lastRegistryDigest = true, 0
}

// recordRegistration logs how an entry differs from the known one. If the target has
// restarted, its recorded outcomes are dropped.
func (s *state) recordRegistration(registration core.Registration) {
	known, ok := s.view.Targets[registration.Target]
	entry := s.log.WithField("target", registration.Target).WithField("row_revision", registration.Revision)
	switch {
	case !ok:
		entry.WithField("pool", registration.Pool).WithField("data_centre", registration.DataCentre).Info("target registered")
		if s.registry.Restarted(registration) {
			s.balancer.Forget(registration.Target)
		}
	case known.Born != registration.Born || known.Address != registration.Address:
		entry.Info("target started again")
		s.limits.Forget(registration.Target)
		s.balancer.Forget(registration.Target)
	case registration.Leaving && !known.Leaving:
		entry.Info("target leaves")
	}
}
