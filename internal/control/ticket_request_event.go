package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// ticketRequestEvent requests a ticket for a local request.
type ticketRequestEvent struct {
	request core.TicketRequest
	reply   chan<- reply // buffered, so that the control goroutine never blocks on it
}

func (e ticketRequestEvent) apply(s *state, now time.Time) {
	p := &pendingRequest{request: e.request, reply: e.reply, arrived: now}
	if s.catalog == nil {
		s.refuse(p, core.Refusal{Kind: core.RefusedNoCapacity, Message: "no configuration is in force yet", Run: core.NotRun, RetryAfter: noOwnerRetryAfter})
		return
	}
	s.pending[e.request.Generation] = p
	s.requestTicket(p, now)
}
