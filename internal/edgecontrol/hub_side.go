package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/registry"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

// grantedPart is the part of the constant bound on second sends that the first of all
// hosts grants on demand; the hosts share the rest evenly.
const grantedPart = 0.5

// hostsPause is the time between two lists of hosts to the askers; when all hosts start,
// the list grows with each.
const hostsPause = time.Second

// answerAsker sends what the asker lacks, and then how old this host's knowledge is.
func (s *state) answerAsker(from core.HostID, m message.HubRequest) {
	now := s.now()
	s.chooser.RecordRequest(from, now)
	known := s.askers[from]
	if known == nil {
		known = &asker{lost: true}
		s.askers[from] = known
	}
	if known.lost || m.LastReceived == 0 || m.LastReceived > known.sent {
		s.sendTo(from, known, s.wholeKnowledge(now))
	}
	age, proved := s.age(now)
	// While targets are held back from being gone, askers that saw no outage must not rely
	// on this host.
	vouches := proved && !known.lost && !s.registry.InGracePeriod(now)
	s.options.Send(from, message.HubResponse{SentAt: m.SentAt, AgeKnown: vouches, Age: age, LastSent: known.sent, FailureRates: s.book.HighFailureRates(now)})
	s.steer()
}

// age returns how old the knowledge of configuration and registry may be at most.
func (s *state) age(now time.Duration) (time.Duration, bool) {
	config, configKnown := s.view.ConfigProof.Age(now)
	registry, registryKnown := s.registryProof.Age(now)
	return max(config, registry), configKnown && registryKnown && s.view.Table != nil
}

// sendTo numbers knowledge for one asker and sends it.
func (s *state) sendTo(to core.HostID, known *asker, m message.HubUpdate) {
	known.sent++
	m.Number = known.sent
	known.lost = !s.options.Send(to, m)
}

func (s *state) wholeKnowledge(now time.Duration) message.HubUpdate {
	m := message.HubUpdate{Full: true, FullRegistry: s.view.RegistryLoaded, Hosts: s.hosts}
	if s.view.Table != nil {
		m.Config, m.HasEvacuated = s.view.Table.Config, true
	}
	for id := range s.view.Evacuated {
		m.Evacuated = append(m.Evacuated, id)
	}
	for _, member := range s.registry.Entries() {
		m.Registrations = append(m.Registrations, registrationAt(member, now))
	}
	return m
}

// registrationAt returns a member's registration as it would read now.
func registrationAt(member registry.Entry, now time.Duration) core.Registration {
	registration := member.Registration
	registration.ColdLeft = max(member.ColdUntil-now, 0)
	return registration
}

// passOn tells the askers what has changed between two views.
func (s *state) passOn(before, after *View) {
	if len(s.askers) == 0 {
		return
	}
	m := message.HubUpdate{}
	if after.Table != before.Table {
		m.Config = after.Table.Config
	}
	if !sameSet(before.Evacuated, after.Evacuated) {
		m.HasEvacuated = true
		for id := range after.Evacuated {
			m.Evacuated = append(m.Evacuated, id)
		}
	}
	now := s.now()
	for id, member := range after.Targets {
		if known, ok := before.Targets[id]; !ok || changed(known.Registration, member.Registration) {
			m.Registrations = append(m.Registrations, registrationAt(member, now))
		}
	}
	for id := range before.Targets {
		if _, ok := after.Targets[id]; !ok {
			m.Removed = append(m.Removed, id)
		}
	}
	if s.hostsChanged && s.now() >= s.hostsSentAt+hostsPause {
		m.Hosts, s.hostsChanged, s.hostsSentAt = s.hosts, false, s.now()
	}
	if m.Config == nil && !m.HasEvacuated && len(m.Registrations)+len(m.Removed)+len(m.Hosts) == 0 {
		return
	}
	for _, id := range s.chooser.Subscribers() {
		if known := s.askers[id]; known != nil {
			s.sendTo(id, known, m)
		}
	}
}

// changed reports whether an entry says something new; each write of a target raises the
// revision, most of them with nothing else.
func changed(before, after core.Registration) bool {
	before.Revision, before.ColdLeft = after.Revision, after.ColdLeft
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

// grant covers a second send of this host or an asker from the part of the bound that the hosts' own
// shares leave. Only the first of all hosts grants, and not until sends that it granted
// before a restart are out of the window.
func (s *state) grant(pool core.PoolID) bool {
	if !s.first || s.now() < s.startedAt+s.options.RetryBudget.Window {
		return false
	}
	if s.grants[pool] == nil {
		s.grants[pool] = retrybudget.NewBudget(retrybudget.Limits{Slack: s.options.RetryBudget.Slack * grantedPart, Window: s.options.RetryBudget.Window})
	}
	return s.grants[pool].TrySpend(s.now(), 1)
}

// takeWork notes what an asker has at targets.
func (s *state) takeWork(from core.HostID, m message.HostWork) {
	loads := make(map[core.TargetID]placement.Load, len(m.Targets))
	for _, work := range m.Targets {
		loads[work.Target] = placement.Load{Requests: work.Requests, Memory: work.Memory, Copies: work.Copies, PendingPrefill: work.PendingPrefill}
	}
	s.book.SetPeerLoad(from, loads, m.LastPlacement, s.now())
	for _, outcomes := range m.Outcomes {
		if _, known := s.view.Targets[outcomes.Target]; known {
			s.book.AddPeerOutcomes(outcomes.Target, placement.OutcomeCounts{Answered: outcomes.Answered, Failed: outcomes.Failed}, s.now())
		}
	}
}

// placeFor chooses a target for a request of an asker.
func (s *state) placeFor(from core.HostID, m message.PlacementRequest) {
	placing := PlacementRequest{Pool: m.Pool, RunningOn: m.RunningOn, MayWait: m.MayWait, Request: placement.Request{
		ID: m.Request, DataCentre: m.DataCentre, Memory: m.Memory, Prompt: m.Prompt,
		WantsCopy: m.WantsCopy, TransfersMemory: m.TransfersMemory, Avoid: m.Avoid,
	}}
	answer := message.PlacementResponse{Number: m.Number}
	if m.NeedsGrant && !s.grant(m.Pool) {
		s.options.Send(from, answer)
		return
	}
	choice, ok := s.choose(placing)
	if ok && s.crowded(choice, placing) {
		answer.AtCapacity = true
	} else if ok {
		answer.Target, answer.Copy = choice.Target.Target, choice.Copy.Target
		loads := map[core.TargetID]placement.Load{answer.Target: placing.Request.Load()}
		if choice.HasCopy() {
			loads[answer.Copy] = placement.Load{Copies: m.Memory}
		}
		s.book.AddPeerGrant(from, m.Number, loads, s.now())
	}
	s.options.Send(from, answer)
}
