package edgecontrol

// leaveEvent marks this host as shutting down.
type leaveEvent struct{}

func (leaveEvent) apply(s *state) {
	s.view.Leaving = true
	s.changed = true
}
