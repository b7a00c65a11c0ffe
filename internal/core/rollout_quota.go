package core

// RolloutQuota grants a host requests to the new version of a pool. It expires a fixed time after the report
// that it answers was sent.
type RolloutQuota struct {
	Pool    PoolID        `cbor:"1,keyasint"`
	Order   StorePosition `cbor:"2,keyasint"`
	Lease   uint64        `cbor:"3,keyasint"`
	Granted uint64        `cbor:"4,keyasint,omitempty"` // bound on RolloutReport.Used, for the reporting process
	// Shares are the fractions of the requests of a route that are sent to the new version while the quota
	// lasts. Other routes have the fraction DefaultShare.
	Shares       map[RouteID]float64 `cbor:"5,keyasint,omitempty"`
	DefaultShare float64             `cbor:"6,keyasint,omitempty"`
}
