package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/message"
)

// executePool carries out the effects of a pool's decisions.
func (s *state) executePool(effects []pool.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case pool.Grant:
			s.executeGrant(e, now)
		case pool.Refuse:
			s.executeRefuse(e, now)
		case pool.Revoke:
			s.executeRevoke(e)
		case pool.Cancel:
			s.effects.Cancel(e.Address, e.Generation)
		}
	}
}

// executeGrant sends a ticket to the entry host. A ticket that could not be queued on the
// link has not left this host and is closed as unused.
func (s *state) executeGrant(e pool.Grant, now time.Time) {
	if e.Request.EntryHost == s.self.ID {
		s.handleGrant(s.self.ID, e.Ticket, now)
		return
	}
	if !s.effects.Send(e.Request.EntryHost, message.TicketGrant{Ticket: e.Ticket}) {
		s.handleOutcome(core.Outcome{Generation: e.Ticket.Generation, Target: e.Ticket.Target, Result: core.Unused}, now)
	}
}

func (s *state) executeRefuse(e pool.Refuse, now time.Time) {
	if e.EntryHost == s.self.ID {
		s.handleRefusal(s.self.ID, e.Generation, e.Refusal, now)
		return
	}
	s.effects.Send(e.EntryHost, message.TicketRefusal{Generation: e.Generation, Refusal: e.Refusal})
}

func (s *state) executeRevoke(e pool.Revoke) {
	if e.EntryHost == s.self.ID {
		s.revoke(e.Generation)
		return
	}
	s.effects.Send(e.EntryHost, message.TicketRevoked{Generation: e.Generation, Target: e.Target})
}

// revoke tells the local request that holds a ticket to run on another target.
func (s *state) revoke(generation core.GenerationID) {
	h := s.heldTickets[generation]
	if h == nil || h.closed {
		return
	}
	h.closed = true
	close(h.revoked)
}

// handleTicketRequest queues a request in its pool, or refuses it if this host owns no target
// of the pool.
func (s *state) handleTicketRequest(request core.TicketRequest, now time.Time) {
	p := s.pools[request.Pool]
	if p == nil {
		refusal := core.Refusal{Kind: core.RefusedNoCapacity, Message: "the host owns no target of the pool", Run: core.NotRun}
		s.executeRefuse(pool.Refuse{Generation: request.Generation, EntryHost: request.EntryHost, Refusal: refusal}, now)
		return
	}
	s.executePool(p.RequestTicket(request, now), now)
}
