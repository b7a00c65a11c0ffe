package membership

import (
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// View is one host's account of the others. It is not safe for concurrent use.
type View struct {
	self     core.Host
	settings Settings
	members  map[core.HostID]*member // without this host
}

// New returns a view that knows only its own host.
func New(self core.Host, settings Settings) *View {
	return &View{self: self, settings: settings, members: map[core.HostID]*member{}}
}

// SetHostList takes in the platform's list, which lags. A host that it no longer names stays
// known while it is heard.
func (v *View) SetHostList(hosts []core.Host, now time.Time) {
	named := make(map[core.HostID]bool, len(hosts))
	for _, host := range hosts {
		if host.ID == v.self.ID {
			continue
		}
		named[host.ID] = true
		m := v.member(host.ID, now)
		if !m.listed {
			m.since = now
		}
		m.listed = true
		m.host = host
	}
	for id, m := range v.members {
		if !named[id] {
			v.unlist(id, m, now)
		}
	}
}

func (v *View) unlist(id core.HostID, m *member, now time.Time) {
	m.listed = false
	forgotten := now.Sub(m.since) > v.settings.ForgetAfter && !m.heardWithin(v.settings.ForgetAfter, now)
	if forgotten && !m.linked {
		delete(v.members, id)
	}
}

func (v *View) member(id core.HostID, now time.Time) *member {
	m := v.members[id]
	if m == nil {
		m = &member{host: core.Host{ID: id}, since: now}
		v.members[id] = m
	}
	return m
}

// HandleHeartbeat takes in a heartbeat that came over the link to its host.
func (v *View) HandleHeartbeat(id core.HostID, beat Heartbeat, now time.Time) {
	if id == v.self.ID {
		return
	}
	m := v.member(id, now)
	m.heardAt = now
	m.beat = beat
}

// SetLinked takes in that the link to a host came up or ended. A handshake proves that
// the host is alive; the end of a link proves nothing.
func (v *View) SetLinked(id core.HostID, up bool, now time.Time) {
	if id == v.self.ID {
		return
	}
	m := v.member(id, now)
	m.linked = up
	if up {
		m.heardAt = now
	}
}

// RequestLink asks for a link with a host, such as the owner of a target. Beyond
// Settings.DemandLinks the links that were asked for longest ago are given up.
func (v *View) RequestLink(id core.HostID, now time.Time) {
	if m := v.members[id]; m != nil {
		m.demanded = now
	}
}

// Reachable reports whether a host is linked and was heard lately.
func (v *View) Reachable(id core.HostID, now time.Time) bool {
	m := v.members[id]
	return m != nil && m.linked && m.heardWithin(v.settings.LivenessTimeout, now)
}

// LastContact returns when a host was last heard; zero if it never was.
func (v *View) LastContact(id core.HostID) time.Time {
	if m := v.members[id]; m != nil {
		return m.heardAt
	}
	return time.Time{}
}

// Live returns the hosts that are taken to be alive, this one included, sorted.
func (v *View) Live(now time.Time) []core.Host {
	linked := map[core.HostID]bool{}
	for _, host := range v.Peers(now) {
		linked[host.ID] = true
	}
	return v.filter(now, func(m *member) bool { return v.isLive(m, linked[m.host.ID], now) })
}

func (v *View) isLive(m *member, shouldBeLinked bool, now time.Time) bool {
	if m.heardWithin(v.settings.LivenessTimeout, now) {
		return true
	}
	if !m.listed {
		return false
	}
	isNew := m.heardAt.IsZero() && now.Sub(m.since) <= v.settings.NewHostGrace
	return isNew || !shouldBeLinked
}

// Known returns every host that is listed or was heard lately, this one included, sorted.
func (v *View) Known(now time.Time) []core.Host {
	return v.filter(now, func(*member) bool { return true })
}

// Peers returns the hosts to stay linked with, sorted.
func (v *View) Peers(now time.Time) []core.Host {
	hosts := v.filter(now, func(m *member) bool {
		return m.host.PeerAddress != "" && (m.listed || m.heardWithin(v.settings.LivenessTimeout, now))
	})
	if len(hosts) > v.settings.MaxMeshHosts {
		chosen := overlay(v.self, hosts, v.settings)
		v.addDemanded(chosen, now)
		hosts = slices.DeleteFunc(hosts, func(host core.Host) bool { return !chosen[host.ID] })
	}
	return slices.DeleteFunc(hosts, func(host core.Host) bool { return host.ID == v.self.ID })
}

// addDemanded adds the hosts that were asked for last.
func (v *View) addDemanded(chosen map[core.HostID]bool, now time.Time) {
	var demanded []*member
	for _, m := range v.members {
		if !m.demanded.IsZero() && now.Sub(m.demanded) <= v.settings.RequestedLinkTTL && !chosen[m.host.ID] {
			demanded = append(demanded, m)
		}
	}
	slices.SortFunc(demanded, func(a, b *member) int {
		if order := b.demanded.Compare(a.demanded); order != 0 {
			return order
		}
		return strings.Compare(string(a.host.ID), string(b.host.ID))
	})
	for _, m := range demanded[:min(len(demanded), v.settings.MaxRequestedLinks)] {
		chosen[m.host.ID] = true
	}
}

// filter returns this host and the members to keep, sorted.
func (v *View) filter(now time.Time, keep func(*member) bool) []core.Host {
	kept := []core.Host{v.self}
	for _, m := range v.members {
		if keep(m) {
			kept = append(kept, m.current(v.settings.LivenessTimeout, now))
		}
	}
	slices.SortFunc(kept, func(a, b core.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return kept
}
