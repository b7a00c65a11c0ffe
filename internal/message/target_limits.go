package message

import "siskintide.example/siskintide/internal/core"

// TargetLimits tells another host at which rates targets take requests from all hosts together.
type TargetLimits struct {
	Limits []core.TargetLimit `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (TargetLimits) MessageKind() Kind { return KindTargetLimits }
