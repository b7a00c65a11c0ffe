package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/membership"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/message"
)

// refreshMembers hands the live hosts of the data centre to the ownership machine and the
// bounded list of peers to the links.
func (s *state) refreshMembers(now time.Time) {
	var local []core.HostID
	for _, host := range s.members.Live(now) {
		if host.DataCentre == s.self.DataCentre && !host.Leaving {
			local = append(local, host.ID)
		}
	}
	s.ownership.SetLiveHosts(local, now)
	s.ports.SetPeers(s.members.Peers(now))
	s.dirty = true
}

// beat sends heartbeats to all linked peers.
func (s *state) beat(now time.Time) {
	m := s.heartbeat(now)
	for _, host := range s.members.Peers(now) {
		s.ports.Send(host.ID, m)
	}
}

func (s *state) sendHeartbeat(to core.HostID, now time.Time) {
	s.ports.Send(to, s.heartbeat(now))
}

// handleHeartbeat takes in what a peer says of itself.
func (s *state) handleHeartbeat(from core.HostID, m message.Heartbeat, now time.Time) {
	s.members.Heard(from, membership.Heartbeat{Session: m.Session, Revision: m.Revision, Leaving: m.Leaving}, now)
	s.ownership.HandlePeer(ownership.PeerReport{
		Host:            from,
		PlatformReached: m.PlatformReached,
		Degraded:        m.Degraded,
		HeardAt:         now,
	}, now)
	s.heartbeats[from] = m
	s.heardRevision(from, m.Revision, now)
}
