package message

import "siskintide.example/siskintide/internal/core"

// TicketClosed closes a ticket at its owner and reports how its use ended. A request that is
// still queued is withdrawn.
type TicketClosed struct {
	Outcome core.Outcome `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TicketClosed) MessageKind() Kind { return KindTicketClosed }
