package message

import "siskintide.example/siskintide/internal/core"

// TicketRequest asks the owner of targets for a ticket.
type TicketRequest struct {
	Request core.TicketRequest `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketRequest) MessageKind() Kind { return KindTicketRequest }
