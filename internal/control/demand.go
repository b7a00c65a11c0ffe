package control

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routing"
	"siskintide.example/siskintide/internal/message"
)

// maxOwnersAsked bounds how many owners one demand is taken to; it keeps a shortage from
// multiplying messages.
const maxOwnersAsked = 3

// noOwnerRetry is the retry time given when nobody takes a pool's requests.
const noOwnerRetry = 2 * time.Second

// place asks the best owner for a ticket, or leaves the demand pending if none is known.
func (s *state) place(p *pending, now time.Time) {
	owner, ok := routing.Choose(s.candidates(p, now), p.demand)
	s.usedPools[p.demand.Pool] = now
	if !ok {
		p.owner = ""
		return
	}
	p.owner = owner
	p.sentAt = now
	p.tries++
	if owner == s.self.ID {
		s.demandOwned(p.demand, now)
		return
	}
	if !s.ports.Send(owner, message.TicketRequest{Request: p.demand}) {
		s.tryElsewhere(p, now)
	}
}

// tryElsewhere takes a demand away from its present owner.
func (s *state) tryElsewhere(p *pending, now time.Time) {
	if p.rejected == nil {
		p.rejected = map[core.HostID]bool{}
	}
	p.rejected[p.owner] = true
	p.owner = ""
	if p.tries < maxOwnersAsked {
		s.place(p, now)
	}
}

// candidates lists the owners that may be asked.
func (s *state) candidates(p *pending, now time.Time) []routing.Candidate {
	var list []routing.Candidate
	for key, known := range s.summaries {
		age := now.Sub(known.heardAt)
		if key.pool != p.demand.Pool || p.rejected[key.owner] || age > s.settings.SummaryExpiry {
			continue
		}
		if key.owner != s.self.ID && !s.members.Reachable(key.owner, now) {
			continue
		}
		list = append(list, s.candidate(key, known, now))
	}
	return list
}

func (s *state) candidate(key summaryKey, known *summary, now time.Time) routing.Candidate {
	m := known.message
	centre := s.catalog.DataCentre(m.DataCentre)
	return routing.Candidate{
		Host:        key.owner,
		Local:       m.DataCentre == s.self.DataCentre,
		Accepts:     centre != nil && centre.State == core.StateIn,
		Share:       s.ramp.share(m.DataCentre, now),
		FreeStreams: m.FreeStreams,
		Headroom:    m.Headroom,
		Queued:      m.Queued,
		Targets:     m.Targets,
		Age:         now.Sub(known.heardAt),
	}
}

// granted hands a ticket to the local request that waits for it.
func (s *state) granted(owner core.HostID, ticket core.Ticket, now time.Time) {
	p := s.pending[ticket.Generation]
	if p == nil || p.owner != owner {
		s.sendOutcome(owner, core.Outcome{Generation: ticket.Generation, Target: ticket.Target, Result: core.Unused}, now)
		return
	}
	delete(s.pending, ticket.Generation)
	h := &held{ticket: ticket, revoked: make(chan struct{})}
	s.held[ticket.Generation] = h
	p.reply <- reply{grant: controlapi.Grant{Ticket: ticket, StartBefore: p.sentAt.Add(ticket.ValidFor), Revoked: h.revoked}}
}

// refused answers a local request, or takes it to another owner if that may help.
func (s *state) refused(owner core.HostID, generation core.GenerationID, refusal core.Refusal, now time.Time) {
	p := s.pending[generation]
	if p == nil || p.owner != owner {
		return
	}
	if refusal.Kind != core.RefusedQueueTimeout && p.tries < maxOwnersAsked {
		s.tryElsewhere(p, now)
		if p.owner != "" || s.pending[generation] == nil {
			return
		}
	}
	s.answerRefusal(p, refusal)
}

func (s *state) answerRefusal(p *pending, refusal core.Refusal) {
	delete(s.pending, p.demand.Generation)
	p.reply <- reply{refusal: &refusal}
}

// expirePending refuses demands whose time is up and retries those without an owner.
func (s *state) expirePending(now time.Time) {
	for _, p := range s.pending {
		if now.Sub(p.arrived) > p.demand.QueueBudget+ownerAnswerMargin {
			s.withdraw(p, now)
			s.answerRefusal(p, noOwnerRefusal(p))
			continue
		}
		if p.owner == "" {
			s.place(p, now)
		}
	}
}

// ownerAnswerMargin is the time after the queue budget in which an owner's own refusal
// may still arrive.
const ownerAnswerMargin = 500 * time.Millisecond

func noOwnerRefusal(p *pending) core.Refusal {
	kind, reason := core.RefusedQueueTimeout, "the owner of its targets gave no answer"
	if p.owner == "" {
		kind, reason = core.RefusedNoCapacity, "no target takes its requests"
	}
	return core.Refusal{
		Kind:       kind,
		Message:    fmt.Sprintf("%s: %s", p.demand.Pool, reason),
		Run:        core.NotRun,
		RetryAfter: noOwnerRetry,
	}
}

// withdraw tells the present owner that a demand is no longer wanted.
func (s *state) withdraw(p *pending, now time.Time) {
	if p.owner != "" {
		s.sendOutcome(p.owner, core.Outcome{Generation: p.demand.Generation, Result: core.Unused}, now)
	}
}

// refuseAll answers every waiting request when the loop ends.
func (s *state) refuseAll() {
	for _, p := range s.pending {
		s.answerRefusal(p, core.Refusal{Kind: core.RefusedLeaving, Message: "the host is stopping", Run: core.NotRun})
	}
}
