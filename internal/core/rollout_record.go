package core

import "time"

// RolloutRecord is the state of a pool's latest rollout. It is kept in the platform's store and written by
// the deciding host, under the condition that it was not written in between.
type RolloutRecord struct {
	Pool PoolID `cbor:"1,keyasint"`
	// Sequence grows by one with each write. It also tells which of two records is newer after the
	// store was restored from a copy.
	Sequence uint64        `cbor:"2,keyasint"`
	Phase    RolloutPhase  `cbor:"3,keyasint,omitempty"`
	Current  Version       `cbor:"4,keyasint,omitempty"` // version in force; the former one until the rollout is completed
	To       Version       `cbor:"5,keyasint,omitempty"` // version that the order names
	Order    StorePosition `cbor:"6,keyasint"`           // of the order's row
	// StartedAt is when the order was seen first, on the clock of the store, in Unix time.
	StartedAt time.Duration `cbor:"7,keyasint,omitempty"`
	Decider   string        `cbor:"8,keyasint,omitempty"` // process that decides on the rollout
	// Reserved is the number of requests that hosts may have been granted for the new version so far, and
	// Carried the part of it that was reserved by former deciders.
	Reserved uint64 `cbor:"9,keyasint,omitempty"`
	Carried  uint64 `cbor:"10,keyasint,omitempty"`
	// The following are what the decider knew: requests of the pool, requests sent to the new version,
	// answers of the new version that were judged, failures among them, and why the rollout ended.
	Seen   uint64 `cbor:"11,keyasint,omitempty"`
	Used   uint64 `cbor:"12,keyasint,omitempty"`
	Judged uint64 `cbor:"13,keyasint,omitempty"`
	Failed uint64 `cbor:"14,keyasint,omitempty"`
	Reason string `cbor:"15,keyasint,omitempty"`
}

// Main returns the version to which a request goes that is not exposed to the new one.
func (r RolloutRecord) Main() Version {
	if r.Phase == RolloutShifting {
		return r.To
	}
	return r.Current
}

// Allows reports whether targets of a version may be used at all.
func (r RolloutRecord) Allows(v Version) bool {
	return v == r.Current || r.Phase.Active() && v == r.To
}
