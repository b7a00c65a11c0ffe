package message

import "siskintide.example/siskintide/internal/core"

// TicketRefusal responds to a ticket request with a refusal.
type TicketRefusal struct {
	Generation core.GenerationID `cbor:"1,keyasint"`
	Refusal    core.Refusal      `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (TicketRefusal) MessageKind() Kind { return KindTicketRefusal }
