package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/hub"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

const (
	// placeTimeout bounds the wait for the hub's placement; then the host chooses by what
	// it knows itself.
	placeTimeout = 60 * time.Millisecond
	// ownReadsBound is how long after its last read of the store a host counts as able to
	// read it.
	ownReadsBound = 1200 * time.Millisecond
	// workPeriod is the time after which the hub is told of the host's work though nothing
	// has changed.
	workPeriod = time.Second
)

// steer chooses the hub, asks it if that is due, and says whether the host reads the
// store by itself.
func (s *state) steer() {
	now := s.now()
	age, known := s.age(now)
	plan := s.chooser.Next(now, age, known, s.ownReads.Within(now, ownReadsBound))
	if plan.Hub != s.hub {
		s.logHub(plan.Hub, age, known)
		s.hub, s.loadChanged = plan.Hub, true
		s.book.SetHubFailureRates(nil)
		s.received[plan.Hub] = 0
	}
	if plan.RequestDue {
		s.options.Send(plan.Hub, message.HubRequest{SentAt: now, LastReceived: s.received[plan.Hub]})
	}
	if plan.ReadStore != s.view.ReadsStore {
		s.view.ReadsStore, s.changed = plan.ReadStore, true
	}
	if asked := len(s.chooser.Subscribers()) > 0; asked != s.view.HasSubscribers {
		s.view.HasSubscribers, s.changed = asked, true
	}
}

// logHub logs a change of the hub; an empty name means that the host has none.
func (s *state) logHub(chosen core.HostID, age time.Duration, known bool) {
	entry := s.log.WithField("hub", chosen).WithField("former", s.hub)
	if known {
		entry = entry.WithField("knowledge_age_ms", age.Milliseconds())
	}
	entry.Info("hub chosen")
}

// takeAnswer renews the proof of this host's knowledge by that of its hub. The hub
// answered after the question was sent, so its knowledge was at most that old then.
func (s *state) takeAnswer(from core.HostID, m message.HubResponse) {
	complete := m.AgeKnown && m.LastSent == s.received[from] && m.LastSent > 0
	s.chooser.RecordResponse(from, m.SentAt, m.Age, complete)
	if from == s.hub {
		s.book.SetHubFailureRates(m.FailureRates)
	}
	if m.LastSent != s.received[from] {
		s.received[from] = 0 // something was lost; the next question asks for all
	}
	if complete {
		s.view.ConfigProof = s.view.ConfigProof.Renew(m.SentAt - m.Age)
		s.registryProof = s.registryProof.Renew(m.SentAt - m.Age)
		s.changed = true
	}
	s.steer()
}

// takeKnowledge takes over what the hub passes on. What another host says, such as a
// former hub, may be older than what is known here.
func (s *state) takeKnowledge(from core.HostID, m message.HubUpdate) {
	if from != s.hub || !m.Full && m.Number != s.received[from]+1 {
		s.received[from] = 0
		return
	}
	s.received[from] = m.Number
	if len(m.Hosts) > 0 {
		s.takeHosts(m.Hosts)
	}
	knowledge := Update{FromHub: true, SentAt: s.now(), Config: m.Config, Registrations: m.Registrations, Removed: m.Removed, FullRegistry: m.FullRegistry}
	if m.HasEvacuated {
		knowledge.Evacuated = make(map[core.DataCentreID]bool, len(m.Evacuated))
		for _, id := range m.Evacuated {
			knowledge.Evacuated[id] = true
		}
	}
	knowledgeEvent{Update: knowledge}.apply(s)
}

// takeHosts takes over the list of hosts.
func (s *state) takeHosts(hosts []core.Host) {
	if len(hosts) < len(s.hosts) {
		return // hosts are added only; an older list came later
	}
	if len(hosts) > len(s.hosts) {
		s.log.WithField("hosts", len(hosts)).Info("hosts joined")
	}
	s.hosts, s.hostsChanged, s.changed = hosts, true, true
	candidates, reserve := hub.Candidates(s.options.Self, hosts)
	s.chooser.SetCandidates(candidates, reserve)
	s.first = len(candidates) == 0 && len(hosts) > 1
	s.options.SetPeers(slices.Concat(candidates, reserve))
}

// sendWork tells the hub of this host's work.
func (s *state) sendWork() {
	now := s.now()
	if s.hub == "" || !s.loadChanged && now-s.workSentAt < workPeriod {
		return
	}
	m := message.HostWork{LastPlacement: s.resolved()}
	for id, load := range s.book.OwnLoad() {
		m.Targets = append(m.Targets, message.TargetWork{Target: id, Requests: load.Requests, Memory: load.Memory, Copies: load.Copies, PendingPrefill: load.PendingPrefill})
	}
	for id, tally := range s.book.DrainOutcomes() {
		m.Outcomes = append(m.Outcomes, message.TargetOutcomes{Target: id, Answered: tally.Answered, Failed: tally.Failed})
	}
	if s.options.Send(s.hub, m) {
		s.loadChanged, s.workSentAt = false, now
	}
}

// resolved returns the number up to which all placements are either counted as this
// host's work or given up.
func (s *state) resolved() uint64 {
	up := s.placements
	for number := range s.pending {
		up = min(up, number-1)
	}
	return up
}

// askHub asks the hub for a placement, and for the grant of a second send if this host's
// share does not cover it. It is false if there is no hub to ask.
func (s *state) askHub(e placeEvent, grant bool) bool {
	if s.hub == "" {
		return false
	}
	s.placements++
	number, need := s.placements, e.placing.Request
	avoid := append(s.avoided(e.placing.Pool), need.Avoid...)
	sent := s.options.Send(s.hub, message.PlacementRequest{
		Number: number, Pool: e.placing.Pool, Request: need.ID, DataCentre: need.DataCentre,
		Memory: need.Memory, Prompt: need.Prompt, WantsCopy: need.WantsCopy, TransfersMemory: need.TransfersMemory, Avoid: avoid,
		RunningOn: e.placing.RunningOn, NeedsGrant: grant, MayWait: e.placing.MayWait,
	})
	if sent {
		timer := time.AfterFunc(placeTimeout, func() { s.options.post(placeTimeoutEvent{number: number}) })
		s.pending[number] = pendingPlace{placeEvent: e, uncovered: grant, timer: timer}
	}
	return sent
}

// avoided lists the targets of a pool that this host could not reach a short time ago.
func (s *state) avoided(pool core.PoolID) []core.TargetID {
	now := s.now()
	ids := slices.DeleteFunc(s.book.AvoidedTargets(now), func(id core.TargetID) bool { return s.view.Targets[id].Pool != pool })
	for _, id := range s.book.CutOffDataCentres(now) {
		for _, candidate := range s.candidates(pool) {
			if candidate.DataCentre == id {
				ids = append(ids, candidate.Target)
			}
		}
	}
	return ids
}

// takePlacement answers a request with the hub's placement, or with one of this host's
// own if the hub found none or named a target that is not known here yet.
func (s *state) takePlacement(m message.PlacementResponse) {
	waiting, ok := s.pending[m.Number]
	if !ok {
		return
	}
	delete(s.pending, m.Number)
	waiting.timer.Stop()
	if m.AtCapacity {
		waiting.reply <- Assignment{AtCapacity: true}
		return
	}
	choice := placement.Choice{Target: s.candidate(m.Target)}
	if m.Copy != "" && s.view.Usable(m.Copy) {
		choice.Copy = s.candidate(m.Copy)
	}
	usable := m.Target != "" && (s.view.Usable(m.Target) || m.Target == waiting.placing.RunningOn)
	if waiting.uncovered && m.Target == "" {
		waiting.deny(s)
		return
	}
	if !usable || s.book.Avoided(m.Target, s.now()) && waiting.placing.RunningOn == "" {
		waiting.placeHere(s)
		return
	}
	waiting.reply <- s.add(choice, waiting.placing.Request)
}
