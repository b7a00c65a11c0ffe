package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// hostListEvent is the platform's list of hosts.
type hostListEvent struct {
	hosts []core.Host
}

func (e hostListEvent) apply(s *state, now time.Time) {
	s.members.SetHostList(e.hosts, now)
	s.refreshMembers(now)
}
