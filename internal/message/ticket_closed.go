package message

import "siskintide.example/siskintide/internal/core"

// TicketClosed reports how the use of a ticket ended.
type TicketClosed struct {
	Outcome core.Outcome `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketClosed) MessageKind() Kind { return KindTicketClosed }
