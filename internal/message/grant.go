package message

import "siskintide.example/siskintide/internal/core"

// Grant answers a demand with a ticket.
type Grant struct {
	Ticket core.Ticket `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (Grant) MessageKind() Kind { return KindGrant }
