package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// peerEvent is a message from an authenticated peer.
type peerEvent struct {
	from    core.HostID
	message message.Message
}

func (e peerEvent) apply(s *state, now time.Time) {
	switch m := e.message.(type) {
	case message.TicketRequest:
		m.Request.EntryHost = e.from
		s.handleTicketRequest(m.Request, now)
	case message.TicketGrant:
		s.handleGrant(e.from, m.Ticket, now)
	case message.TicketRefusal:
		s.handleRefusal(e.from, m.Generation, m.Refusal, now)
	case message.TicketClosed:
		s.handleOutcome(m.Outcome, now)
	case message.Progress:
		s.handleProgress(m.Streams, now)
	case message.HeldTickets:
		s.reconcileHeldTickets(e.from, m.Held, now)
	case message.TicketRevoked:
		s.revoke(m.Generation)
	case message.PoolCapacity:
		s.capacities[capacityKey{owner: e.from, pool: m.Pool}] = &ownerCapacity{message: m, receivedAt: now}
	case message.TargetLoads:
		s.recordTargetLoads(e.from, m, now)
	case message.Heartbeat:
		s.handleHeartbeat(e.from, m, now)
	case message.RelayRequest:
		s.effects.RelayCommit(e.from, m.ID, m.Transaction)
	case message.RelayResponse:
		s.handleRelayResponse(m, now)
	case message.ConfigRequest:
		s.handleConfigRequest(e.from, m)
	}
}
