package edgecontrol

import "time"

// storeEvent records whether a call to the store has succeeded.
type storeEvent struct {
	up     bool
	sentAt time.Duration // of the call
}

// apply ignores the success of a call that was sent before one that has failed. A call that the store holds until there
// is a change may respond seconds after the store became unavailable to others.
func (e storeEvent) apply(s *state) {
	if e.up && e.sentAt < s.storeFailedAt {
		return
	}
	if !e.up {
		s.storeFailedAt = max(s.storeFailedAt, e.sentAt)
	}
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
