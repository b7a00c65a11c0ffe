package edgecontrol

import "siskintide.example/siskintide/internal/decide/shutdown"

// leaveEvent marks this host as shutting down.
type leaveEvent struct {
	schedule *shutdown.Schedule
}

func (e leaveEvent) apply(s *state) {
	s.view.Shutdown = e.schedule
	s.changed = true
}
