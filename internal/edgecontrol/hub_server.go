package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

// onDemandFraction is the fraction of the constant part of the retry budget that the
// first-ranked host grants on request. The hosts share the rest evenly.
const onDemandFraction = 0.5

// hostListInterval is the minimum time between two host lists sent to subscribers. While all
// hosts of a deployment start, the list grows with each of them.
const hostListInterval = time.Second

const (
	// recentAge is the age of this host's state up to which it responds to a subscriber at once. A
	// hub that reads the store stays below it.
	recentAge = 600 * time.Millisecond
	// maxResponseDelay bounds the delay of a response. It must stay below the time after which a
	// subscriber leaves a silent hub.
	maxResponseDelay = 150 * time.Millisecond
	// sharedRegistryTTL bounds the error of the remaining cold times in a first update.
	sharedRegistryTTL = time.Second
)

// handleHubRequest responds to a subscriber's request with the age of this host's state. If the
// subscription is new, or an update could not be sent, the response follows a first update, unless
// this host's state may be older than the subscriber's.
func (s *state) handleHubRequest(from core.HostID, m message.HubRequest) {
	now := s.now()
	s.chooser.RecordRequest(from, now)
	sub := s.subscribers[from]
	if sub == nil {
		sub = &subscriber{lost: true}
		s.subscribers[from] = sub
	}
	if m.Subscription != sub.subscription {
		sub.subscription, sub.lost, sub.lacksEvidence, sub.lacksLimits = m.Subscription, true, true, true
	}
	if sub.lacksEvidence {
		sub.lacksEvidence = !s.sendAllEvidence(from)
	}
	if sub.lacksLimits {
		sub.lacksLimits = !s.sendAllLimits(from)
	}
	sub.request, sub.requestedAt, sub.responsePending = m, now, true
	s.updateHub() // with its first subscriber, this host begins to read the store
	s.respond(from, sub)
}

// respondAll sends the responses that were delayed, as far as they are due.
func (s *state) respondAll() {
	for id, sub := range s.subscribers {
		s.respond(id, sub)
	}
}

// respond sends the response to a subscriber's request. While this host's state is not recent, the
// response is delayed for the next read of the store, so that a host that has just become a hub is
// not left for having none.
func (s *state) respond(to core.HostID, sub *subscriber) {
	now := s.now()
	age, ageKnown := s.stateAge(now)
	recent := ageKnown && age <= recentAge
	if !sub.responsePending || !recent && now-sub.requestedAt < maxResponseDelay {
		return
	}
	sub.responsePending = false
	// During the registry's grace period after an outage of the store, its state still has
	// targets that may be gone. Subscribers that saw no outage must not use it as current.
	reliable := ageKnown && !s.registry.InGracePeriod(now)
	if reliable && sub.lost {
		s.sendUpdate(to, sub, s.firstUpdate(sub.request, now))
	}
	quotas := s.rolloutQuotas(to, sub.request.Rollouts)
	sub.request.Rollouts = nil
	s.options.Send(to, message.HubResponse{Quotas: quotas, SentAt: sub.request.SentAt, Subscription: sub.request.Subscription, AgeKnown: reliable && !sub.lost, Age: age, LastSent: sub.sent, FailureRates: s.balancer.HighFailureRates(now)})
}

// stateAge returns the upper bound on the age of the configuration and the registry, and false
// if no such bound is known.
func (s *state) stateAge(now time.Duration) (time.Duration, bool) {
	config, configKnown := s.view.ConfigProof.Age(now)
	registry, registryKnown := s.view.RegistryProof.Age(now)
	return max(config, registry), configKnown && registryKnown && s.view.Table != nil
}

// sendUpdate numbers an update for one subscriber and sends it.
func (s *state) sendUpdate(to core.HostID, sub *subscriber, m message.HubUpdate) {
	sub.sent++
	m.Number = sub.sent
	sub.lost = !s.options.Send(to, m)
}

// newHubUpdate returns an update without changes.
func (s *state) newHubUpdate() message.HubUpdate {
	registryPosition := s.registry.Position()
	return message.HubUpdate{
		ConfigRevision: s.configPosition.Revision, ConfigEra: s.configPosition.Era,
		RegistryRevision: registryPosition.Revision, RegistryEra: registryPosition.Era,
	}
}

// notifySubscribers sends the difference between two views to the subscribers.
func (s *state) notifySubscribers(before, after *View) {
	rolledOut := s.takeRolloutChanges()
	if len(s.subscribers) == 0 {
		return
	}
	m := s.newHubUpdate()
	if after.Table != before.Table {
		m.Config = s.sharedConfig
	}
	if !sameSet(before.Evacuated, after.Evacuated) {
		m.HasEvacuated = true
		for id := range after.Evacuated {
			m.Evacuated = append(m.Evacuated, id)
		}
	}
	now := s.now()
	for id, entry := range after.Targets {
		if known, ok := before.Targets[id]; !ok || registrationChanged(known.Registration, entry.Registration) {
			m.Registrations = append(m.Registrations, registrationAt(entry, now))
		}
	}
	for id := range before.Targets {
		if _, ok := after.Targets[id]; !ok {
			m.Removed = append(m.Removed, id)
		}
	}
	if s.hostsChanged && s.now() >= s.hostsSentAt+hostListInterval {
		m.Hosts, s.hostsChanged, s.hostsSentAt = s.hosts, false, s.now()
	}
	m.Rollouts = rolledOut
	if m.Config == nil && !m.HasEvacuated && len(m.Registrations)+len(m.Removed)+len(m.Hosts)+len(m.Rollouts) == 0 {
		return
	}
	active := s.chooser.Subscribers()
	for id, sub := range s.subscribers {
		switch {
		case sub.lost: // its first update will hold the change
		case slices.Contains(active, id):
			s.sendUpdate(id, sub, m)
		default:
			sub.lost = true // if it requests again, it must not count as up to date
		}
	}
}

// registrationChanged reports whether two registrations differ in more than position and
// remaining cold time. Every write of a target raises the revision, and most writes change
// nothing else.
func registrationChanged(before, after core.Registration) bool {
	before.Revision, before.Era, before.ColdLeft = after.Revision, after.Era, after.ColdLeft
	return before != after
}

func sameSet(a, b map[core.DataCentreID]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// grantRetry covers a retry of this host or a subscriber from the part of the retry budget that
// is not divided among the hosts. Only the first-ranked host grants, and only once it has
// run for a whole window, because it does not know what it granted before a restart.
func (s *state) grantRetry(pool core.PoolID) bool {
	if !s.ranksFirst || s.now() < s.startedAt+s.options.RetryBudget.Window {
		return false
	}
	if s.grantBudgets[pool] == nil {
		s.grantBudgets[pool] = retrybudget.NewBudget(retrybudget.Limits{Slack: s.options.RetryBudget.Slack * onDemandFraction, Window: s.options.RetryBudget.Window})
	}
	return s.grantBudgets[pool].TrySpend(s.now(), 1)
}

// handleHostLoad records a subscriber's load on the targets and the outcomes of its attempts.
func (s *state) handleHostLoad(from core.HostID, m message.HostLoad) {
	loads := make(map[core.TargetID]placement.Load, len(m.Targets))
	for _, work := range m.Targets {
		loads[work.Target] = placement.Load{Requests: work.Requests, Memory: work.Memory, Copies: work.Copies, PendingPrefill: work.PendingPrefill}
	}
	s.balancer.SetPeerLoad(from, loads, m.LastPlacement, s.now())
	for _, outcomes := range m.Outcomes {
		if _, known := s.view.Targets[outcomes.Target]; known {
			s.balancer.AddPeerOutcomes(outcomes.Target, placement.OutcomeCounts{Answered: outcomes.Answered, Failed: outcomes.Failed}, s.now())
		}
	}
	s.recordPeerPace(m.Pace)
}

// handlePlacementRequest chooses a target for a subscriber's request and sends the response.
func (s *state) handlePlacementRequest(from core.HostID, m message.PlacementRequest) {
	req := PlacementRequest{Pool: m.Pool, RunningOn: m.RunningOn, MayWait: m.MayWait, Team: m.Team, Content: m.Content, Priority: m.Priority, TimeLeft: m.TimeLeft, MaxWait: m.MaxWait, Request: placement.Request{
		ID: m.Request, DataCentre: m.DataCentre, Memory: m.Memory, Prompt: m.Prompt,
		WantsCopy: m.WantsCopy, TransfersMemory: m.TransfersMemory, Avoid: m.Avoid, GapGoal: m.GapGoal,
	}}
	if s.weighsPrefixes(m.Pool) {
		req.Request.Prefix = m.Prefix
	}
	if s.rollouts != nil && m.Versioned {
		req.Versioned, req.Version, req.Probe = true, m.Version, m.Probe
	}
	if m.NeedsGrant && !s.grantRetry(m.Pool) {
		s.options.Send(from, message.PlacementResponse{Number: m.Number})
		return
	}
	s.place(req, true, subscriberReply{host: from, number: m.Number})
}
