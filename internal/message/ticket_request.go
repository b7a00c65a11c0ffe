package message

import "siskintide.example/siskintide/internal/core"

// TicketRequest requests a ticket from an owner of targets.
type TicketRequest struct {
	Request core.TicketRequest `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketRequest) MessageKind() Kind { return KindTicketRequest }
