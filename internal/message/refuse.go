package message

import "siskintide.example/siskintide/internal/core"

// Refuse answers a demand with a refusal.
type Refuse struct {
	Generation core.GenerationID `cbor:"1,keyasint"`
	Refusal    core.Refusal      `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (Refuse) MessageKind() Kind { return KindRefuse }
