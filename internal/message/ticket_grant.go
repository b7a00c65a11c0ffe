package message

import "siskintide.example/siskintide/internal/core"

// TicketGrant answers a demand with a ticket.
type TicketGrant struct {
	Ticket core.Ticket `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketGrant) MessageKind() Kind { return KindTicketGrant }
