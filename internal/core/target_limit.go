package core

import "time"

// TargetLimit is what a host knows of the rate that a target takes from all hosts together.
type TargetLimit struct {
	Target TargetID      `cbor:"1,keyasint"`
	Rate   float64       `cbor:"2,keyasint"` // requests per second
	Age    time.Duration `cbor:"3,keyasint"` // since the request was sent whose response said so
	// ByRejection is set if the target did not run that request.
	ByRejection bool `cbor:"4,keyasint,omitempty"`
	// Ended is set if the target names no limit any more, since EndedAge.
	Ended    bool          `cbor:"5,keyasint,omitempty"`
	EndedAge time.Duration `cbor:"6,keyasint,omitempty"`
}
