package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// demandEvent is a local request that wants a ticket.
type demandEvent struct {
	demand core.TicketRequest
	reply  chan<- reply // has room for one answer
}

func (e demandEvent) apply(s *state, now time.Time) {
	p := &pending{demand: e.demand, reply: e.reply, arrived: now}
	if s.catalog == nil {
		s.answerRefusal(p, core.Refusal{Kind: core.RefusedNoCapacity, Message: "no configuration is in force yet", Run: core.NotRun, RetryAfter: noOwnerRetry})
		return
	}
	s.pending[e.demand.Generation] = p
	s.place(p, now)
}
