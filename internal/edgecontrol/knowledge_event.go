package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routetable"
)

// knowledgeEvent brings the result of a read of the store.
type knowledgeEvent struct {
	Update
}

func (e knowledgeEvent) apply(s *state) {
	if e.Config != nil && (s.view.Table == nil || e.Config.Revision > s.view.Table.Config.Revision) {
		s.log.WithField("revision", e.Config.Revision).WithField("read_age_ms", (s.now() - e.SentAt).Milliseconds()).
			Info("configuration in force")
		s.view.Table = routetable.New(e.Config)
		s.changed = true
	}
	if e.Evacuated != nil {
		s.noteEvacuated(e.Evacuated)
	}
	if e.CoversConfig {
		s.view.ConfigProof = s.view.ConfigProof.Renew(e.SentAt)
		s.changed = true
	}
	if e.CoversRegistry {
		s.registryProof = s.registryProof.Renew(e.SentAt)
		s.ownReads = s.ownReads.Renew(e.SentAt)
	}
	if e.Hosts != nil {
		s.takeHosts(e.Hosts)
	}
	s.applyRegistry(e.Update)
}

func (s *state) noteEvacuated(evacuated map[core.DataCentreID]bool) {
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

// applyRegistry takes over entries of the registry.
func (s *state) applyRegistry(k Update) {
	if !k.FullRegistry && len(k.Registrations) == 0 && len(k.Removed) == 0 {
		return
	}
	now := s.now()
	for _, registration := range k.Registrations {
		s.noteRegistration(registration)
	}
	switch {
	case k.FullRegistry && k.FromHub:
		s.registry.ReplaceNow(k.Registrations, now)
	case k.FullRegistry:
		s.registry.Replace(k.Registrations, now)
	default:
		for _, registration := range k.Registrations {
			s.registry.Put(registration, now)
		}
	}
	s.view.RegistryLoaded = s.view.RegistryLoaded || k.FullRegistry
	for _, id := range k.Removed {
		s.log.WithField("target", id).Info("target's entry removed")
		if k.FromHub {
			s.registry.RemoveNow(id)
		} else {
			s.registry.Remove(id, now)
		}
		s.book.Forget(id)
	}
	s.membersChanged = true
}

// noteRegistration logs what an entry changes, and drops what was known of an earlier
// start of the target.
func (s *state) noteRegistration(registration core.Registration) {
	known, ok := s.view.Targets[registration.Target]
	entry := s.log.WithField("target", registration.Target).WithField("row_revision", registration.Revision)
	switch {
	case !ok:
		entry.WithField("pool", registration.Pool).WithField("data_centre", registration.DataCentre).Info("target registered")
	case known.Born != registration.Born || known.Address != registration.Address:
		entry.Info("target started again")
		s.book.Forget(registration.Target)
	case registration.Leaving && !known.Leaving:
		entry.Info("target leaves")
	}
}
