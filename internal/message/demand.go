package message

import "siskintide.example/siskintide/internal/core"

// Demand asks the owner of targets for a ticket.
type Demand struct {
	Demand core.Demand `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (Demand) MessageKind() Kind { return KindDemand }
