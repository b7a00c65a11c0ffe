package pool

import "siskintide.example/siskintide/internal/core"

// Grant sends a ticket to the entry host that requested it.
type Grant struct {
	Request core.TicketRequest
	Ticket  core.Ticket
}

func (Grant) effect() {}
