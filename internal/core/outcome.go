package core

// Outcome is the result of running one request under a ticket.
type Outcome struct {
	Generation      GenerationID `cbor:"1,keyasint,omitempty"`
	Target          TargetID     `cbor:"2,keyasint,omitempty"`
	Result          Result       `cbor:"3,keyasint,omitempty"`
	Output          Tokens       `cbor:"4,keyasint,omitempty"`
	FirstTokenMS    int64        `cbor:"5,keyasint,omitempty"` // time from sending the request to the target to its first token
	WorstTokenGapMS int64        `cbor:"6,keyasint,omitempty"` // largest time between two tokens
}
