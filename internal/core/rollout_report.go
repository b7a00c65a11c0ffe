package core

// RolloutReport tells the deciding host what a host has done in a rollout since the order.
type RolloutReport struct {
	Pool  PoolID        `cbor:"1,keyasint"`
	Order StorePosition `cbor:"2,keyasint"`
	// Incarnation is another number in each process of the host.
	Incarnation uint64 `cbor:"3,keyasint"`
	Lease       uint64 `cbor:"4,keyasint,omitempty"` // number of the latest quota received
	Seen        uint64 `cbor:"5,keyasint,omitempty"` // requests that the host took for the pool
	Used        uint64 `cbor:"6,keyasint,omitempty"` // requests sent to the new version
	// Routes has the number of requests by route, and Cells the results. Both are totals since the order,
	// and leave out what has not changed since an earlier report on the same link.
	Routes map[RouteID]uint64 `cbor:"7,keyasint,omitempty"`
	Cells  []RolloutCell      `cbor:"8,keyasint,omitempty"`
}
