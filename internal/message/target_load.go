package message

import "siskintide.example/siskintide/internal/core"

// TargetLoad is an owner's report of one target's load.
type TargetLoad struct {
	Target   core.TargetID `cbor:"1,keyasint"`
	Limit    int           `cbor:"2,keyasint"` // streams that may run now
	Streams  int           `cbor:"3,keyasint"`
	Memory   core.Tokens   `cbor:"4,keyasint"`
	Forecast core.Tokens   `cbor:"5,keyasint"`
	// Incarnation is the hash of the incarnation that the limit belongs to.
	Incarnation uint64 `cbor:"6,keyasint"`
}
