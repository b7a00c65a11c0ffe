package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// PlacementResponse names the targets that a hub chose. An empty name means none.
type PlacementResponse struct {
	Number     uint64        `cbor:"1,keyasint"`
	Target     core.TargetID `cbor:"2,keyasint,omitempty"`
	Copy       core.TargetID `cbor:"3,keyasint,omitempty"`
	AtCapacity bool          `cbor:"4,keyasint,omitempty"` // all targets are at capacity
	// RateLimited is set if all targets are limited and no permit is left for the request, and
	// RetryAfter is the time until there is one.
	RateLimited bool          `cbor:"5,keyasint,omitempty"`
	RetryAfter  time.Duration `cbor:"6,keyasint,omitempty"`
	// ExpectedCached is the number of the prompt's tokens that the hub expects the target to have cached.
	ExpectedCached core.Tokens `cbor:"7,keyasint,omitempty"`
}

// MessageKind implements Message.
func (PlacementResponse) MessageKind() Kind { return KindPlacementResponse }
