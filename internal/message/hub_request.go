package message

import "time"

// HubRequest requests the age of the hub's state, and subscribes the sender to its updates.
type HubRequest struct {
	SentAt       time.Duration `cbor:"1,keyasint"` // on the sender's clock; returned in the response
	LastReceived uint64        `cbor:"2,keyasint"` // number of the last update received; zero requests a full update
}

// MessageKind implements Message.
func (HubRequest) MessageKind() Kind { return KindHubRequest }
