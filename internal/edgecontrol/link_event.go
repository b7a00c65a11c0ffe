package edgecontrol

import "siskintide.example/siskintide/internal/core"

// linkEvent reports that the link to another host came up or was lost.
type linkEvent struct {
	host core.HostID
	up   bool
}

func (e linkEvent) apply(s *state) {
	s.chooser.SetLinked(e.host, e.up)
	delete(s.subscribers, e.host)
	if !e.up {
		s.log.WithField("peer", e.host).Warn("lost the link to a host")
		s.balancer.ForgetPeer(e.host)
	} else {
		s.log.WithField("peer", e.host).Info("linked with a host")
	}
	s.updateHub()
}
