package message

import "siskintide.example/siskintide/internal/core"

// TicketRevoked revokes a ticket at the entry host. A generation that runs under it must be
// stopped and needs a new ticket.
type TicketRevoked struct {
	Generation core.GenerationID `cbor:"1,keyasint"`
	Target     core.TargetID     `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (TicketRevoked) MessageKind() Kind { return KindTicketRevoked }
