package edgecontrol

// storeEvent notes whether the store answers.
type storeEvent struct {
	up bool
}

func (e storeEvent) apply(s *state) {
	if e.up == !s.storeAway {
		return
	}
	s.storeAway = !e.up
	s.view.StoreUnavailable, s.changed = s.storeAway, true
	if e.up {
		s.registry.HandleStoreRegained(s.now())
		s.log.Info("regained the platform's store")
		return
	}
	s.registry.HandleStoreLost()
	age, _ := s.view.ConfigProof.Age(s.now())
	s.log.WithField("config_age_ms", age.Milliseconds()).Warn("lost the platform's store")
}
