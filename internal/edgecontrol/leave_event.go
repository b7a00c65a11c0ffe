package edgecontrol

// leaveEvent notes that this host shuts down.
type leaveEvent struct{}

func (leaveEvent) apply(s *state) {
	s.view.Leaving = true
	s.changed = true
}
