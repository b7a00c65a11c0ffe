package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// hostListEvent is a new list of hosts from the platform.
type hostListEvent struct {
	hosts []core.Host
}

func (e hostListEvent) apply(s *state, now time.Time) {
	s.members.SetHostList(e.hosts, now)
	s.refreshMembers(now)
}
