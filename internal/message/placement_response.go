package message

import "siskintide.example/siskintide/internal/core"

// PlacementResponse names the targets that a hub chose. An empty name means none.
type PlacementResponse struct {
	Number     uint64        `cbor:"1,keyasint"`
	Target     core.TargetID `cbor:"2,keyasint,omitempty"`
	Copy       core.TargetID `cbor:"3,keyasint,omitempty"`
	AtCapacity bool          `cbor:"4,keyasint,omitempty"` // all targets are at capacity
}

// MessageKind implements Message.
func (PlacementResponse) MessageKind() Kind { return KindPlacementResponse }
