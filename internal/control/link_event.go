package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// linkEvent reports that the link to a peer came up or was lost.
type linkEvent struct {
	host core.HostID
	up   bool
}

func (e linkEvent) apply(s *state, now time.Time) {
	s.members.SetLinked(e.host, e.up, now)
	s.dirty = true
	if e.up {
		s.sendHeartbeat(e.host, now)
		s.sendCapacities(e.host)
		return
	}
	s.follower.DropPeer(e.host)
	delete(s.loads, e.host)
	for _, p := range s.pools {
		s.executePool(p.HandleHostLost(e.host, now), now)
	}
	for key := range s.capacities {
		if key.owner == e.host {
			delete(s.capacities, key)
		}
	}
	for _, p := range s.pending {
		if p.owner == e.host {
			s.tryNextOwner(p, now)
		}
	}
}
