package message

import "siskintide.example/siskintide/internal/core"

// TargetOutcomes counts how a host's sends to a target ended since its last account.
type TargetOutcomes struct {
	Target   core.TargetID `cbor:"1,keyasint"`
	Answered int           `cbor:"2,keyasint,omitempty"`
	Failed   int           `cbor:"3,keyasint,omitempty"`
}
