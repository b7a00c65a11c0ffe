package message

import "siskintide.example/siskintide/internal/core"

// HostTargetLoad is the load that a host has on one target.
type HostTargetLoad struct {
	Target         core.TargetID `cbor:"1,keyasint"`
	Requests       int           `cbor:"2,keyasint"`
	Memory         core.Tokens   `cbor:"3,keyasint,omitempty"` // forecast memory of running generations at their end
	Copies         core.Tokens   `cbor:"4,keyasint,omitempty"` // forecast memory of copies of generations that run elsewhere
	PendingPrefill core.Tokens   `cbor:"5,keyasint,omitempty"` // prompts of requests without a first event
}
