package message

import "siskintide.example/siskintide/internal/core"

// TicketRevoked tells an entry host that the owner has given up a ticket, or asks it to stop a running generation and take a new ticket.
type TicketRevoked struct {
	Generation core.GenerationID `cbor:"1,keyasint"`
	Target     core.TargetID     `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (TicketRevoked) MessageKind() Kind { return KindTicketRevoked }
