package edgecontrol

// placeTimeoutEvent reports that the hub has not responded within placeTimeout.
type placeTimeoutEvent struct {
	number uint64
}

func (e placeTimeoutEvent) apply(s *state) {
	waiting, ok := s.pending[e.number]
	if !ok {
		return
	}
	delete(s.pending, e.number)
	s.log.WithField("hub", s.hub).WithField("request", waiting.req.Request.ID).Info("hub did not choose a target in time")
	if waiting.needsGrant {
		waiting.refuseRetry(s)
		return
	}
	waiting.placeLocally(s)
}
