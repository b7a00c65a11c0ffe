package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HubResponse reports the maximum age of the hub's state at the time of the response. The
// hub has sent that state on the same link before, in the updates up to number LastSent.
type HubResponse struct {
	SentAt       time.Duration       `cbor:"1,keyasint"` // time of the request, on the subscriber's clock
	AgeKnown     bool                `cbor:"2,keyasint"` // Age is valid
	Age          time.Duration       `cbor:"3,keyasint"`
	LastSent     uint64              `cbor:"4,keyasint"`
	Subscription uint64              `cbor:"6,keyasint"`           // of the request
	Quotas       []core.RolloutQuota `cbor:"7,keyasint,omitempty"` // that answer the reports of the request
	// FailureRates holds the failure rates of targets that fail more than usual.
	FailureRates map[core.TargetID]float64 `cbor:"5,keyasint,omitempty"`
}

// MessageKind implements Message.
func (HubResponse) MessageKind() Kind { return KindHubResponse }
