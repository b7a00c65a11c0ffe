package core

import "time"

// Ticket is the right to run one generation on one incarnation of one target. The owner
// counts it as in use from its issue until it is closed, or until the target's list of
// running streams shows that it is not in use.
type Ticket struct {
	Generation  GenerationID  `cbor:"1,keyasint,omitempty"`
	Owner       HostID        `cbor:"2,keyasint,omitempty"`
	Target      TargetID      `cbor:"3,keyasint,omitempty"`
	Address     string        `cbor:"4,keyasint,omitempty"` // IP and port of the target
	Incarnation Incarnation   `cbor:"5,keyasint,omitempty"`
	Fence       Fence         `cbor:"6,keyasint,omitempty"`
	Priority    Priority      `cbor:"7,keyasint,omitempty"`
	ValidFor    time.Duration `cbor:"8,keyasint,omitempty"` // the entry host must start within this time, counted from before it sent its request
}
