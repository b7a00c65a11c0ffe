package control

import (
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/snapshot"
)

// buildSnapshot builds the snapshot that traffic reads.
func (s *state) buildSnapshot(now time.Time) *snapshot.Snapshot {
	return &snapshot.Snapshot{
		Self:            s.self,
		Session:         s.session,
		Catalog:         s.catalog,
		Leaving:         s.leaving,
		PlatformReached: s.platformReached,
		Degraded:        s.ownership.Degraded(now),
		Hosts:           s.hostViews(now),
		Owned:           s.targetViews(),
		PeerTargets:     s.peerTargetViews(),
	}
}

func (s *state) hostViews(now time.Time) []snapshot.HostView {
	var views []snapshot.HostView
	for _, host := range s.members.Known(now) {
		view := snapshot.HostView{
			Host:        host,
			Revision:    s.heartbeats[host.ID].Revision,
			LastContact: s.members.LastContact(host.ID),
			Reachable:   s.members.Reachable(host.ID, now),
		}
		if host.ID == s.self.ID {
			view.Revision, view.LastContact, view.Reachable = s.revision(), now, true
		}
		views = append(views, view)
	}
	return views
}

func (s *state) targetViews() []snapshot.TargetView {
	var views []snapshot.TargetView
	for _, p := range s.pools {
		views = append(views, p.Views()...)
	}
	for i := range views {
		views[i].Owner = s.self.ID
	}
	slices.SortFunc(views, func(a, b snapshot.TargetView) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return views
}

// peerTargetViews lists the targets that peers own, as the peers reported them.
func (s *state) peerTargetViews() []snapshot.TargetView {
	var views []snapshot.TargetView
	for owner, loads := range s.loads {
		for _, load := range loads.Targets {
			views = append(views, snapshot.TargetView{
				Target:     load.Target,
				Owner:      owner,
				Limit:      load.Limit,
				Running:    load.Streams,
				MemoryUsed: load.Memory,
				Forecast:   load.Forecast,
			})
		}
	}
	return views
}

// sendTargetLoads sends the loads of the targets that this host owns to its peers.
func (s *state) sendTargetLoads(now time.Time) {
	var m message.TargetLoads
	for _, view := range s.targetViews() {
		m.Targets = append(m.Targets, message.TargetLoad{
			Target:   view.Target,
			Limit:    view.Limit,
			Streams:  view.Running,
			Memory:   view.MemoryUsed,
			Forecast: view.Forecast,

			Incarnation: pool.IncarnationHash(view.Incarnation),
		})
	}
	for _, host := range s.members.Peers(now) {
		s.effects.Send(host.ID, m)
	}
}
