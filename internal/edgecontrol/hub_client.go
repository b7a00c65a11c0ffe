package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/message"
)

const (
	// placeTimeout bounds the wait for the hub's response; after it the host chooses a
	// target from its own state.
	placeTimeout = 60 * time.Millisecond
	// ownReadMaxAge is the time after a successful read of the store for which this host
	// counts as able to read it.
	ownReadMaxAge = 1200 * time.Millisecond
	// loadReportInterval is the interval at which an unchanged load is sent to the hub again.
	loadReportInterval = time.Second
)

// updateHub selects the hub, sends it a request if one is due, and updates whether this host
// reads the store itself.
func (s *state) updateHub() {
	now := s.now()
	age, known := s.stateAge(now)
	plan := s.chooser.Next(now, age, known, s.ownStoreReads.Within(now, ownReadMaxAge))
	if plan.Hub != s.hub {
		s.logHubChange(plan.Hub, age, known)
		s.hub, s.loadChanged, s.hubLacksEvidence, s.hubLacksLimits = plan.Hub, true, true, true
		s.balancer.SetHubFailureRates(nil)
		s.subscription.renew(now)
	}
	if plan.RequestDue {
		s.requestAge(plan.Hub, now)
	}
	if plan.ReadStore != s.view.ReadsStore {
		s.view.ReadsStore, s.changed = plan.ReadStore, true
		if !plan.ReadStore {
			s.resubscribe()
		}
	}
	if hasSubscribers := len(s.chooser.Subscribers()) > 0; hasSubscribers != s.view.HasSubscribers {
		s.view.HasSubscribers, s.changed = hasSubscribers, true
	}
	// A hub sends the list of hosts, which changes rarely; an outdated one does no harm.
	if readsHosts := plan.ReadStore && (s.view.HasSubscribers || s.hub == ""); readsHosts != s.view.ReadsHosts {
		s.view.ReadsHosts, s.changed = readsHosts, true
	}
	if interval := s.readInterval(); interval != s.view.ReadInterval {
		s.view.ReadInterval, s.changed = interval, true
	}
}

// readInterval returns the minimum time between two reads of a table of the store.
func (s *state) readInterval() time.Duration {
	switch {
	case s.view.HasSubscribers:
		return 0
	case !s.hostsKnown:
		return hub.ReadInterval(0)
	default:
		return hub.ReadInterval(len(s.hosts))
	}
}

// requestAge requests the age of the hub's state. Until the first update has arrived, the request
// also says what this host has.
func (s *state) requestAge(from core.HostID, now time.Duration) {
	s.subscription.renewIfOverdue(now)
	m := message.HubRequest{SentAt: now, Subscription: s.subscription.number}
	if s.subscription.lastReceived == 0 {
		m.RegistryDigest, m.HostCount = s.registryDigest(), len(s.hosts)
		if s.view.Table != nil {
			m.Revision = s.view.Table.Config.Revision
		}
	}
	m.Rollouts = s.rolloutReports(now)
	s.options.Send(from, m)
}

// logHubChange logs a change of the hub. An empty name means that the host has none.
func (s *state) logHubChange(chosen core.HostID, age time.Duration, known bool) {
	entry := s.log.WithField("hub", chosen).WithField("former", s.hub)
	if known {
		entry = entry.WithField("knowledge_age_ms", age.Milliseconds())
	}
	entry.Info("hub chosen")
}

// handleHubResponse handles a hub's response. If this host has received every update that
// the hub sent, its state is as recent as the hub's. The hub computed Age after the request
// was sent, so on this host's clock that state is at least as recent as SentAt - Age. A response to
// a former incarnation of this host, which may have had another clock, proves nothing.
func (s *state) handleHubResponse(from core.HostID, m message.HubResponse) {
	received := s.subscription.lastReceived
	complete := from == s.hub && m.Subscription == s.subscription.number && m.AgeKnown && m.LastSent == received && received > 0
	s.chooser.RecordResponse(from, m.SentAt, m.Age, complete)
	if !m.AgeKnown || m.Age > hub.MaxAge {
		s.chooser.RecordOutdated(from, s.now())
	}
	if from == s.hub {
		s.acceptQuotas(m.Quotas, m.SentAt)
		s.balancer.SetHubFailureRates(m.FailureRates)
	}
	if from == s.hub && m.Subscription == s.subscription.number && received > 0 && m.LastSent != received {
		s.subscription.renew(s.now()) // an update was lost
	}
	if complete {
		s.view.ConfigProof = s.view.ConfigProof.Renew(m.SentAt - m.Age)
		s.view.RegistryProof = s.view.RegistryProof.Renew(m.SentAt - m.Age)
		s.registry.HandleCurrent(m.SentAt - m.Age)
		s.changed = true
	}
	s.updateHub()
}

// handleHubUpdate applies an update from the hub, as far as this host's state is not newer. An
// update from any other host, such as a former hub, is dropped, and so is an update after a lost
// one.
func (s *state) handleHubUpdate(from core.HostID, m message.HubUpdate) {
	if from != s.hub || !s.subscription.receive(m.First, m.Number, s.now()) {
		return
	}
	if m.First && !s.continues(m) {
		s.subscription.renew(s.now())
		return
	}
	if len(m.Hosts) > 0 {
		s.setHosts(m.Hosts)
	}
	update := Update{FromHub: true, SentAt: s.now(), Registrations: m.Registrations, ConfigRevision: m.ConfigRevision, ConfigEra: m.ConfigEra, RegistryRevision: m.RegistryRevision, RegistryEra: m.RegistryEra}
	for _, id := range m.Removed {
		update.Removed = append(update.Removed, core.Removal{Target: id, Revision: m.RegistryRevision, Era: m.RegistryEra})
	}
	if m.Registry != nil {
		update.FullRegistry, update.Registrations = true, m.Registry.Value()
	}
	if m.HasEvacuated {
		update.Evacuated = make(map[core.DataCentreID]bool, len(m.Evacuated))
		for _, id := range m.Evacuated {
			update.Evacuated[id] = true
		}
	}
	if m.Config != nil {
		update.Config = m.Config.Value()
	}
	s.applyHubRollouts(m)
	updateEvent{Update: update}.apply(s)
	if update.Config != nil && s.view.Table.Config == update.Config {
		s.sharedConfig = m.Config // already encoded
	}
}

// continues reports whether a first update leads to the hub's state. It does not if the hub is behind
// this host, since its later updates leave out what changed there and back again in the meantime, or
// if a read has changed the registry since the request.
func (s *state) continues(m message.HubUpdate) bool {
	behind := m.ConfigPosition().Before(s.configPosition) || m.RegistryPosition().Before(s.registry.Position())
	return !behind && (m.Registry != nil || m.RegistryDigest == s.registryDigest())
}

// resubscribe begins a new subscription at once. It is needed after a read of this host that is the
// last one for now: the updates of the hub may not continue what was read.
func (s *state) resubscribe() {
	if s.hub != "" {
		s.subscription.renew(s.now())
		s.requestAge(s.hub, s.now())
	}
}

// setHosts replaces the list of hosts and derives the hub candidates and the links from it.
func (s *state) setHosts(hosts []core.Host) {
	if len(hosts) < len(s.hosts) {
		return // hosts are only ever added, so a shorter list is an older one that arrived late
	}
	if len(hosts) > len(s.hosts) {
		s.log.WithField("hosts", len(hosts)).Info("hosts joined")
	}
	s.hosts, s.hostsKnown, s.hostsChanged, s.changed = hosts, true, true, true
	candidates, reserve := hub.Candidates(s.options.Self, hosts)
	s.chooser.SetCandidates(candidates, reserve, len(hosts))
	s.ranksFirst = len(candidates) == 0 && len(hosts) > 1
	s.options.SetPeers(slices.Concat(candidates, reserve))
}

// sendLoad sends this host's load and the outcomes of its attempts to the hub, if the load
// has changed or loadReportInterval has passed.
func (s *state) sendLoad() {
	now := s.now()
	paceDue := s.pace.due(now)
	if s.hub == "" || !s.loadChanged && !paceDue && now-s.loadSentAt < loadReportInterval {
		return
	}
	m := message.HostLoad{LastPlacement: s.lastResolved()}
	for id, load := range s.balancer.OwnLoad() {
		m.Targets = append(m.Targets, message.HostTargetLoad{Target: id, Requests: load.Requests, Memory: load.Memory, Copies: load.Copies, PendingPrefill: load.PendingPrefill})
	}
	for id, counts := range s.balancer.DrainOutcomes() {
		m.Outcomes = append(m.Outcomes, message.TargetOutcomes{Target: id, Answered: counts.Answered, Failed: counts.Failed})
	}
	if paceDue {
		m.Pace = s.pace.list()
		s.pace.clear(now) // also if the report is lost: the next one says as much
	}
	if s.options.Send(s.hub, m) {
		s.loadChanged, s.loadSentAt = false, now
	}
}
