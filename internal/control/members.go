package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/membership"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// refreshMembers passes the live hosts of the data centre to the ownership machine, and the
// bounded list of peers to the link layer.
func (s *state) refreshMembers(now time.Time) {
	var local []core.HostID
	for _, host := range s.members.Live(now) {
		if host.DataCentre == s.self.DataCentre && !host.Leaving {
			local = append(local, host.ID)
		}
	}
	s.ownership.SetLiveHosts(local, now)
	s.requestOwnerLinks(now)
	s.effects.SetPeers(s.members.Peers(now))
	s.dirty = true
}

// poolUseWindow is the time after a pool's last local request for which this host keeps
// links with the pool's owners.
const poolUseWindow = time.Minute

// requestOwnerLinks requests links with the owners of the pools that local callers use, since in
// a large data centre a host is linked with few others.
func (s *state) requestOwnerLinks(now time.Time) {
	if s.catalog == nil {
		return
	}
	for id, usedAt := range s.usedPools {
		if now.Sub(usedAt) > poolUseWindow {
			delete(s.usedPools, id)
		}
	}
	for _, target := range s.catalog.Config.Targets {
		if _, used := s.usedPools[target.Pool()]; !used || target.DataCentre != s.self.DataCentre {
			continue
		}
		if holder := s.ownership.Holder(target.ID); holder != "" && holder != s.self.ID {
			s.members.RequestLink(holder, now)
		}
	}
}

// broadcastHeartbeat sends a heartbeat to all peers.
func (s *state) broadcastHeartbeat(now time.Time) {
	m := s.heartbeat(now)
	for _, host := range s.members.Peers(now) {
		s.effects.Send(host.ID, m)
	}
}

func (s *state) sendHeartbeat(to core.HostID, now time.Time) {
	s.effects.Send(to, s.heartbeat(now))
}

// handleHeartbeat records a peer's heartbeat and passes it to the membership, the ownership
// machine and the configuration follower.
func (s *state) handleHeartbeat(from core.HostID, m message.Heartbeat, now time.Time) {
	s.members.HandleHeartbeat(from, membership.Heartbeat{Session: m.Session, Revision: m.Revision, Leaving: m.Leaving}, now)
	s.ownership.HandlePeerReport(ownership.PeerReport{
		Host:            from,
		PlatformReached: m.PlatformReached,
		Degraded:        m.Degraded,
		ReceivedAt:      now,
	}, now)
	s.heartbeats[from] = m
	s.handlePeerRevision(from, m.Revision, now)
}
