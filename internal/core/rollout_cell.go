package core

// RolloutCell counts how the requests of one kind ended that a host has sent to targets of one version since
// the order.
type RolloutCell struct {
	Route  RouteID `cbor:"1,keyasint"`
	Remote bool    `cbor:"2,keyasint,omitempty"` // the targets are in another data centre than the host
	New    bool    `cbor:"3,keyasint,omitempty"` // the targets are of the new version
	// Window is the period, counted from the order, in which the requests were placed; see rollout.windowOf.
	Window uint32 `cbor:"8,keyasint,omitempty"`
	Ended  uint32 `cbor:"4,keyasint,omitempty"`
	Failed uint32 `cbor:"5,keyasint,omitempty"`
	// Times and Gaps count requests by the time to the first event, or to the whole answer of a call, and by
	// the mean pause between the first events. See rollout.BucketLimit for the limits of the
	// entries.
	Times []uint32 `cbor:"6,keyasint,omitempty"`
	Gaps  []uint32 `cbor:"7,keyasint,omitempty"`
}

// RolloutBuckets is the largest number of entries of RolloutCell.Times and Gaps.
const RolloutBuckets = 40
