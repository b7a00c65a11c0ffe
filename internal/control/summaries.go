package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// announce keeps this host's own summaries fresh and sends those that changed to peers.
func (s *state) announce(now time.Time) {
	for id, p := range s.pools {
		sum := p.Summary()
		m := message.PoolCapacity{
			Pool:        id,
			DataCentre:  s.self.DataCentre,
			Headroom:    sum.Headroom,
			FreeStreams: sum.FreeStreams,
			Queued:      sum.Queued,
			Targets:     sum.Targets,
		}
		s.summaries[summaryKey{owner: s.self.ID, pool: id}] = &summary{message: m, heardAt: now}
		s.announceTo(id, m, now)
	}
}

// announceTo sends a summary unless the last one is recent, or unchanged and not old.
func (s *state) announceTo(id core.PoolID, m message.PoolCapacity, now time.Time) {
	last := s.announced[id]
	if last != nil {
		age := now.Sub(last.sentAt)
		if age < s.settings.Summary || (last.message == m && age < s.settings.SummaryRefresh) {
			return
		}
	}
	s.announced[id] = &announced{message: m, sentAt: now}
	for _, host := range s.members.Peers(now) {
		s.ports.Send(host.ID, m)
	}
}

// retire forgets a pool in which this host owns nothing and tells peers so.
func (s *state) retire(id core.PoolID, now time.Time) {
	delete(s.pools, id)
	delete(s.summaries, summaryKey{owner: s.self.ID, pool: id})
	m := message.PoolCapacity{Pool: id, DataCentre: s.self.DataCentre}
	for _, host := range s.members.Peers(now) {
		s.ports.Send(host.ID, m)
	}
	delete(s.announced, id)
}

// sendSummaries tells a newly linked peer what this host can take.
func (s *state) sendSummaries(to core.HostID) {
	for _, last := range s.announced {
		s.ports.Send(to, last.message)
	}
}
