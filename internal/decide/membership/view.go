package membership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// View is one host's account of the others. It is not safe for concurrent use.
type View struct {
	self     core.Host
	settings Settings
	hosts    map[core.HostID]core.Host
	up       map[core.HostID]bool
	heard    map[core.HostID]time.Time
}

// New returns a view that knows only its own host.
func New(self core.Host, settings Settings) *View {
	return &View{
		self:     self,
		settings: settings,
		hosts:    map[core.HostID]core.Host{self.ID: self},
		up:       map[core.HostID]bool{},
		heard:    map[core.HostID]time.Time{},
	}
}

// SetList takes in the platform's list, which lags.
func (v *View) SetList(hosts []core.Host, _ time.Time) {
	for _, host := range hosts {
		v.hosts[host.ID] = host
	}
}

// Heard takes in a heartbeat.
func (v *View) Heard(id core.HostID, beat Heartbeat, now time.Time) {
	v.heard[id] = now
	host := v.hosts[id]
	host.Leaving = beat.Leaving
	v.hosts[id] = host
}

// LinkChanged takes in that the link to a host came up or ended.
func (v *View) LinkChanged(id core.HostID, up bool, now time.Time) {
	v.up[id] = up
	if up {
		v.heard[id] = now
	}
}

// Reachable reports whether a host is linked and was heard lately.
func (v *View) Reachable(id core.HostID, now time.Time) bool {
	return v.up[id] && now.Sub(v.heard[id]) <= v.settings.HeardWithin
}

// HeardAt returns when a host was last heard; zero if it never was.
func (v *View) HeardAt(id core.HostID) time.Time { return v.heard[id] }

// Live returns this host and the reachable ones.
func (v *View) Live(now time.Time) []core.Host {
	return v.filter(func(host core.Host) bool { return host.ID == v.self.ID || v.Reachable(host.ID, now) })
}

// Known returns every host of the list, this one included.
func (v *View) Known(time.Time) []core.Host {
	return v.filter(func(core.Host) bool { return true })
}

// Peers returns the hosts to stay linked with.
func (v *View) Peers(time.Time) []core.Host {
	return v.filter(func(host core.Host) bool { return host.ID != v.self.ID })
}

func (v *View) filter(keep func(core.Host) bool) []core.Host {
	var kept []core.Host
	for _, host := range v.hosts {
		if keep(host) {
			kept = append(kept, host)
		}
	}
	return kept
}
