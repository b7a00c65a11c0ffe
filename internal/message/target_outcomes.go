package message

import "siskintide.example/siskintide/internal/core"

// TargetOutcomes counts the outcomes of a host's requests to a target since its last report.
type TargetOutcomes struct {
	Target   core.TargetID `cbor:"1,keyasint"`
	Answered int           `cbor:"2,keyasint,omitempty"`
	Failed   int           `cbor:"3,keyasint,omitempty"`
}
