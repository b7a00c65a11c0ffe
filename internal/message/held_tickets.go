package message

import "siskintide.example/siskintide/internal/core"

// HeldTickets lists the tickets of one owner that the sender still holds, so that the owner
// can reconcile tickets whose grant or close was lost.
type HeldTickets struct {
	Held []core.GenerationID `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (HeldTickets) MessageKind() Kind { return KindHeldTickets }
