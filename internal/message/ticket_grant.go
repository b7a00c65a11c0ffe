package message

import "siskintide.example/siskintide/internal/core"

// TicketGrant responds to a ticket request with a ticket.
type TicketGrant struct {
	Ticket core.Ticket `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketGrant) MessageKind() Kind { return KindTicketGrant }
