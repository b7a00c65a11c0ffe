package edgecontrol

// placeTimeoutEvent notes that the hub has not answered in time.
type placeTimeoutEvent struct {
	number uint64
}

func (e placeTimeoutEvent) apply(s *state) {
	waiting, ok := s.pending[e.number]
	if !ok {
		return
	}
	delete(s.pending, e.number)
	s.log.WithField("hub", s.hub).WithField("request", waiting.placing.Request.ID).Info("hub did not place in time")
	if waiting.uncovered {
		waiting.deny(s)
		return
	}
	waiting.placeHere(s)
}
