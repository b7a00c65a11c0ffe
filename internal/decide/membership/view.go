package membership

import (
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// View is one host's state of all other hosts. It is not safe for concurrent use.
type View struct {
	self     core.Host
	settings Settings
	members  map[core.HostID]*member // without this host
}

// New returns a view that contains only its own host.
func New(self core.Host, settings Settings) *View {
	return &View{self: self, settings: settings, members: map[core.HostID]*member{}}
}

// SetHostList replaces the platform's list of hosts, which lags. A host that the list no
// longer names stays known while it is in contact.
func (v *View) SetHostList(hosts []core.Host, now time.Time) {
	listed := make(map[core.HostID]bool, len(hosts))
	for _, host := range hosts {
		if host.ID == v.self.ID {
			continue
		}
		listed[host.ID] = true
		m := v.member(host.ID, now)
		if !m.listed {
			m.knownSince = now
		}
		m.listed = true
		m.host = host
	}
	for id, m := range v.members {
		if !listed[id] {
			v.unlist(id, m, now)
		}
	}
}

// unlist marks a host as not listed. It removes the host if it is not linked, has been known
// for longer than Settings.ForgetAfter, and was not in contact within that time.
func (v *View) unlist(id core.HostID, m *member, now time.Time) {
	m.listed = false
	expired := now.Sub(m.knownSince) > v.settings.ForgetAfter && !m.contactWithin(v.settings.ForgetAfter, now)
	if expired && !m.linked {
		delete(v.members, id)
	}
}

// member returns the state of a host and adds the host if it is not known.
func (v *View) member(id core.HostID, now time.Time) *member {
	m := v.members[id]
	if m == nil {
		m = &member{host: core.Host{ID: id}, knownSince: now}
		v.members[id] = m
	}
	return m
}

// HandleHeartbeat records a heartbeat that was received over the link to its host.
func (v *View) HandleHeartbeat(id core.HostID, heartbeat Heartbeat, now time.Time) {
	if id == v.self.ID {
		return
	}
	m := v.member(id, now)
	m.lastContact = now
	m.heartbeat = heartbeat
}

// SetLinked records that the link to a host came up or went down. The handshake of a link
// proves that the host is alive. The end of a link does not prove that the host has failed.
func (v *View) SetLinked(id core.HostID, up bool, now time.Time) {
	if id == v.self.ID {
		return
	}
	m := v.member(id, now)
	m.linked = up
	if up {
		m.lastContact = now
	}
}

// RequestLink requests a link to a host, such as the owner of a target. If there are more
// than Settings.MaxRequestedLinks requests, the oldest are dropped.
func (v *View) RequestLink(id core.HostID, now time.Time) {
	if m := v.members[id]; m != nil {
		m.linkRequestedAt = now
	}
}

// Reachable reports whether a host is linked and was in contact within
// Settings.LivenessTimeout.
func (v *View) Reachable(id core.HostID, now time.Time) bool {
	m := v.members[id]
	return m != nil && m.linked && m.contactWithin(v.settings.LivenessTimeout, now)
}

// LastContact returns when the latest heartbeat or handshake of a host was received, or
// zero if there was none.
func (v *View) LastContact(id core.HostID) time.Time {
	if m := v.members[id]; m != nil {
		return m.lastContact
	}
	return time.Time{}
}

// Live returns the hosts that are assumed to be alive, including this one, sorted.
func (v *View) Live(now time.Time) []core.Host {
	peers := map[core.HostID]bool{}
	for _, host := range v.Peers(now) {
		peers[host.ID] = true
	}
	return v.filter(now, func(m *member) bool { return v.isLive(m, peers[m.host.ID], now) })
}

func (v *View) isLive(m *member, shouldBeLinked bool, now time.Time) bool {
	if m.contactWithin(v.settings.LivenessTimeout, now) {
		return true
	}
	if !m.listed {
		return false
	}
	isNew := m.lastContact.IsZero() && now.Sub(m.knownSince) <= v.settings.NewHostGrace
	return isNew || !shouldBeLinked
}

// Known returns this host and every other host that has not been removed, sorted.
func (v *View) Known(now time.Time) []core.Host {
	return v.filter(now, func(*member) bool { return true })
}

// Peers returns the hosts that this host keeps links to, sorted.
func (v *View) Peers(now time.Time) []core.Host {
	hosts := v.filter(now, func(m *member) bool {
		return m.host.PeerAddress != "" && (m.listed || m.contactWithin(v.settings.LivenessTimeout, now))
	})
	if len(hosts) > v.settings.MaxMeshHosts {
		chosen := overlay(v.self, hosts, v.settings)
		v.addRequested(chosen, now)
		hosts = slices.DeleteFunc(hosts, func(host core.Host) bool { return !chosen[host.ID] })
	}
	return slices.DeleteFunc(hosts, func(host core.Host) bool { return host.ID == v.self.ID })
}

// addRequested adds the hosts of the latest link requests that have not expired.
func (v *View) addRequested(chosen map[core.HostID]bool, now time.Time) {
	var requested []*member
	for _, m := range v.members {
		if !m.linkRequestedAt.IsZero() && now.Sub(m.linkRequestedAt) <= v.settings.RequestedLinkTTL && !chosen[m.host.ID] {
			requested = append(requested, m)
		}
	}
	slices.SortFunc(requested, func(a, b *member) int {
		if order := b.linkRequestedAt.Compare(a.linkRequestedAt); order != 0 {
			return order
		}
		return strings.Compare(string(a.host.ID), string(b.host.ID))
	})
	for _, m := range requested[:min(len(requested), v.settings.MaxRequestedLinks)] {
		chosen[m.host.ID] = true
	}
}

// filter returns this host and the members for which keep returns true, sorted.
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
