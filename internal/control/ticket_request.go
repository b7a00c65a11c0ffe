package control

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routing"
	"siskintide.example/siskintide/internal/message"
)

// maxOwnersTried bounds the owners that one ticket request is sent to, so that a
// shortage of capacity does not multiply messages.
const maxOwnersTried = 3

// noOwnerRetryAfter is the RetryAfter of refusals when no owner takes a pool's requests.
const noOwnerRetryAfter = 2 * time.Second

// requestTicket requests a ticket from the best owner. If no owner is known, the request stays
// pending.
func (s *state) requestTicket(p *pendingRequest, now time.Time) {
	owner, ok := routing.Choose(s.candidates(p, now), p.request)
	s.usedPools[p.request.Pool] = now
	if !ok {
		p.owner = ""
		return
	}
	p.owner = owner
	p.sentAt = now
	p.attempts++
	if owner == s.self.ID {
		s.handleTicketRequest(p.request, now)
		return
	}
	if !s.effects.Send(owner, message.TicketRequest{Request: p.request}) {
		s.tryNextOwner(p, now)
	}
}

// tryNextOwner excludes the current owner and sends the request to the next best one, up to
// maxOwnersTried owners.
func (s *state) tryNextOwner(p *pendingRequest, now time.Time) {
	if p.excluded == nil {
		p.excluded = map[core.HostID]bool{}
	}
	p.excluded[p.owner] = true
	p.owner = ""
	if p.attempts < maxOwnersTried {
		s.requestTicket(p, now)
	}
}

// candidates lists the owners that a request may be sent to.
func (s *state) candidates(p *pendingRequest, now time.Time) []routing.Candidate {
	var list []routing.Candidate
	for key, capacity := range s.capacities {
		age := now.Sub(capacity.receivedAt)
		if key.pool != p.request.Pool || p.excluded[key.owner] || age > s.settings.CapacityExpiry {
			continue
		}
		if key.owner != s.self.ID && !s.members.Reachable(key.owner, now) {
			continue
		}
		list = append(list, s.candidate(key, capacity, now))
	}
	return list
}

func (s *state) candidate(key capacityKey, capacity *ownerCapacity, now time.Time) routing.Candidate {
	m := capacity.message
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
		Age:         now.Sub(capacity.receivedAt),
	}
}

// handleGrant delivers a ticket to the local request that waits for it. A ticket that no
// request waits for is closed as unused.
func (s *state) handleGrant(owner core.HostID, ticket core.Ticket, now time.Time) {
	p := s.pending[ticket.Generation]
	if p == nil || p.owner != owner {
		s.sendOutcome(owner, core.Outcome{Generation: ticket.Generation, Target: ticket.Target, Result: core.Unused}, now)
		return
	}
	delete(s.pending, ticket.Generation)
	h := &heldTicket{ticket: ticket, revoked: make(chan struct{})}
	s.heldTickets[ticket.Generation] = h
	p.reply <- reply{grant: controlapi.Grant{Ticket: ticket, StartBefore: p.sentAt.Add(ticket.ValidFor), Revoked: h.revoked}}
}

// handleRefusal handles an owner's refusal: the request goes to another owner if that may help,
// otherwise the caller gets the refusal.
func (s *state) handleRefusal(owner core.HostID, generation core.GenerationID, refusal core.Refusal, now time.Time) {
	p := s.pending[generation]
	if p == nil || p.owner != owner {
		return
	}
	if refusal.Kind != core.RefusedQueueTimeout && p.attempts < maxOwnersTried {
		s.tryNextOwner(p, now)
		if p.owner != "" || s.pending[generation] == nil {
			return
		}
	}
	s.refuse(p, refusal)
}

func (s *state) refuse(p *pendingRequest, refusal core.Refusal) {
	delete(s.pending, p.request.Generation)
	p.reply <- reply{refusal: &refusal}
}

// expirePending refuses requests whose queue budget is used up and retries those without an
// owner.
func (s *state) expirePending(now time.Time) {
	for _, p := range s.pending {
		if now.Sub(p.arrived) > p.request.QueueBudget+ownerResponseMargin {
			s.withdraw(p, now)
			s.refuse(p, noOwnerRefusal(p))
			continue
		}
		if p.owner == "" {
			s.requestTicket(p, now)
		}
	}
}

// ownerResponseMargin is the time after the end of the queue budget for which a refusal by
// the owner itself may still arrive.
const ownerResponseMargin = 500 * time.Millisecond

func noOwnerRefusal(p *pendingRequest) core.Refusal {
	kind, reason := core.RefusedQueueTimeout, "the owner of its targets gave no answer"
	if p.owner == "" {
		kind, reason = core.RefusedNoCapacity, "no target takes its requests"
	}
	return core.Refusal{
		Kind:       kind,
		Message:    fmt.Sprintf("%s: %s", p.request.Pool, reason),
		Run:        core.NotRun,
		RetryAfter: noOwnerRetryAfter,
	}
}

// withdraw cancels a request at its current owner.
func (s *state) withdraw(p *pendingRequest, now time.Time) {
	if p.owner != "" {
		s.sendOutcome(p.owner, core.Outcome{Generation: p.request.Generation, Result: core.Unused}, now)
	}
}

// refuseAll refuses every pending request when the loop ends.
func (s *state) refuseAll() {
	for _, p := range s.pending {
		s.refuse(p, core.Refusal{Kind: core.RefusedLeaving, Message: "the host is stopping", Run: core.NotRun})
	}
}
