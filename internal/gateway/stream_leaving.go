package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/edgecontrol"
)

// readEntry reads from the registry whether the current engine leaves. An entry that is missing does not say so: it
// lapses when the engine is cut off from the registry, and the host may have a registry that was read meanwhile. The
// engine is asked then.
func (s *streamRelay) readEntry(view *edgecontrol.View) {
	entry, ok := view.Targets[s.current.assignment.Target.Target]
	switch {
	case ok && entry.Leaving:
		s.recordLeaving(noticeEntry, s.now())
	case ok:
		s.missingSince = 0
	case s.missingSince == 0:
		s.missingSince = s.now()
		s.log.WithField("target", s.current.assignment.Target.Target).WithField("last_event", s.ids.last).
			Info("engine's entry is missing, and the engine is asked whether it leaves")
	}
}

// recordLeaving records a notice that the current engine leaves, which was given at a time.
func (s *streamRelay) recordLeaving(notice leaveNotice, at time.Duration) {
	s.failover.RecordLeaving(at)
	if s.notice == "" {
		s.notice, s.noticeAt = notice, at
	}
}
