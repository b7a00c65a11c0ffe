package edgecontrol

import "time"

// storeEvent records whether the store is available.
type storeEvent struct {
	up bool
}

func (e storeEvent) apply(s *state) {
	if e.up == !s.storeUnavailable {
		return
	}
	s.storeUnavailable = !e.up
	s.view.StoreUnavailable, s.changed = s.storeUnavailable, true
	if e.up {
		s.registry.HandleStoreRegained(s.now())
		s.log.Info("regained the platform's store")
		return
	}
	s.registry.HandleStoreLost(s.registryCurrentAt())
	age, _ := s.view.ConfigProof.Age(s.now())
	s.log.WithField("config_age_ms", age.Milliseconds()).Warn("lost the platform's store")
}

// registryCurrentAt returns the latest time at which the registry is known to have been current,
// by this host's reads or by its hub's, or zero if there is none.
func (s *state) registryCurrentAt() time.Duration {
	age, known := s.view.RegistryProof.Age(s.now())
	if !known {
		return 0
	}
	return s.now() - age
}
