package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/message"
)

// execute carries out the effects of a pool's decision.
func (s *state) execute(effects []pool.Effect, now time.Time) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case pool.Grant:
			s.executeGrant(e, now)
		case pool.Refuse:
			s.executeRefuse(e, now)
		case pool.Revoke:
			s.executeRevoke(e)
		case pool.Cancel:
			s.ports.Cancel(e.Address, e.Generation)
		}
	}
}

// executeGrant sends a ticket to the entry host. A ticket that could not be queued for
// the link never left this host, so it is taken back.
func (s *state) executeGrant(e pool.Grant, now time.Time) {
	if e.Demand.EntryHost == s.self.ID {
		s.granted(s.self.ID, e.Ticket, now)
		return
	}
	if !s.ports.Send(e.Demand.EntryHost, message.TicketGrant{Ticket: e.Ticket}) {
		s.handleOutcome(core.Outcome{Generation: e.Ticket.Generation, Target: e.Ticket.Target, Result: core.Unused}, now)
	}
}

func (s *state) executeRefuse(e pool.Refuse, now time.Time) {
	if e.EntryHost == s.self.ID {
		s.refused(s.self.ID, e.Generation, e.Refusal, now)
		return
	}
	s.ports.Send(e.EntryHost, message.TicketRefusal{Generation: e.Generation, Refusal: e.Refusal})
}

func (s *state) executeRevoke(e pool.Revoke) {
	if e.EntryHost == s.self.ID {
		s.revoke(e.Generation)
		return
	}
	s.ports.Send(e.EntryHost, message.TicketRevoked{Generation: e.Generation, Target: e.Target})
}

// revoke asks the local request that holds a ticket to move.
func (s *state) revoke(generation core.GenerationID) {
	h := s.held[generation]
	if h == nil || h.closed {
		return
	}
	h.closed = true
	close(h.revoked)
}

// demandOwned takes a demand into the queue of a pool that this host owns targets of.
func (s *state) demandOwned(demand core.TicketRequest, now time.Time) {
	p := s.pools[demand.Pool]
	if p == nil {
		refusal := core.Refusal{Kind: core.RefusedNoCapacity, Message: "the host owns no target of the pool", Run: core.NotRun}
		s.executeRefuse(pool.Refuse{Generation: demand.Generation, EntryHost: demand.EntryHost, Refusal: refusal}, now)
		return
	}
	s.execute(p.RequestTicket(demand, now), now)
}
