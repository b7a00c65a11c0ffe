package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HubResponse tells how old the hub's knowledge was at most when it answered. All that the
// hub knew then has been sent before, on the same link, up to the number Sent.
type HubResponse struct {
	SentAt   time.Duration `cbor:"1,keyasint"` // of the question, on the asker's clock
	AgeKnown bool          `cbor:"2,keyasint"` // the hub has any proof of its knowledge's age
	Age      time.Duration `cbor:"3,keyasint"`
	LastSent uint64        `cbor:"4,keyasint"`
	// FailureRates are the failure rates of targets that fail more than usual.
	FailureRates map[core.TargetID]float64 `cbor:"5,keyasint,omitempty"`
}

// MessageKind implements Message.
func (HubResponse) MessageKind() Kind { return KindHubResponse }
