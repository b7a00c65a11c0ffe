package core

import "time"

// Ticket is the right to run one generation on one incarnation of one target. It counts
// as used at the owner from its issue until it is closed or the target's own list of
// running streams proves that it is not in use.
type Ticket struct {
	Generation  GenerationID  `cbor:"1,keyasint,omitempty"`
	Owner       HostID        `cbor:"2,keyasint,omitempty"`
	Target      TargetID      `cbor:"3,keyasint,omitempty"`
	Address     string        `cbor:"4,keyasint,omitempty"` // IP and port of the target
	Incarnation Incarnation   `cbor:"5,keyasint,omitempty"`
	Fence       Fence         `cbor:"6,keyasint,omitempty"`
	Priority    Priority      `cbor:"7,keyasint,omitempty"`
	ValidFor    time.Duration `cbor:"8,keyasint,omitempty"` // time to start in, counted by the entry host from before it sent the demand
}
