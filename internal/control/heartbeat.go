package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

func (s *state) heartbeat(now time.Time) message.Heartbeat {
	return message.Heartbeat{
		Host:            s.self.ID,
		Session:         s.session,
		Revision:        s.revision(),
		Leaving:         s.leaving,
		PlatformReached: s.platformReached,
		Degraded:        s.ownership.Degraded(now),
	}
}

func (s *state) revision() core.Revision {
	if s.catalog == nil {
		return 0
	}
	return s.catalog.Config.Revision
}
