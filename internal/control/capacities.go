package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// updateCapacities updates this host's own capacities and sends them to peers.
func (s *state) updateCapacities(now time.Time) {
	for id, p := range s.pools {
		capacity := p.Capacity()
		m := message.PoolCapacity{
			Pool:        id,
			DataCentre:  s.self.DataCentre,
			Headroom:    capacity.Headroom,
			FreeStreams: capacity.FreeStreams,
			Queued:      capacity.Queued,
			Targets:     capacity.Targets,
		}
		s.capacities[capacityKey{owner: s.self.ID, pool: id}] = &ownerCapacity{message: m, receivedAt: now}
		s.broadcastCapacity(id, m, now)
	}
}

// broadcastCapacity sends a pool's capacity to all peers, unless the last one sent is
// younger than Settings.CapacityInterval, or is the same and younger than
// Settings.CapacityRefresh.
func (s *state) broadcastCapacity(id core.PoolID, m message.PoolCapacity, now time.Time) {
	last := s.sentCapacities[id]
	if last != nil {
		age := now.Sub(last.sentAt)
		if age < s.settings.CapacityInterval || (last.message == m && age < s.settings.CapacityRefresh) {
			return
		}
	}
	s.sentCapacities[id] = &sentCapacity{message: m, sentAt: now}
	for _, host := range s.members.Peers(now) {
		s.effects.Send(host.ID, m)
	}
}

// retirePool removes a pool in which this host owns no target and reports to peers that its
// capacity is zero.
func (s *state) retirePool(id core.PoolID, now time.Time) {
	delete(s.pools, id)
	delete(s.capacities, capacityKey{owner: s.self.ID, pool: id})
	m := message.PoolCapacity{Pool: id, DataCentre: s.self.DataCentre}
	for _, host := range s.members.Peers(now) {
		s.effects.Send(host.ID, m)
	}
	delete(s.sentCapacities, id)
}

// sendCapacities sends the latest capacities to a newly linked peer.
func (s *state) sendCapacities(to core.HostID) {
	for _, last := range s.sentCapacities {
		s.effects.Send(to, last.message)
	}
}
