package message

import "time"

// HubRequest asks a hub how recent its knowledge is.
type HubRequest struct {
	SentAt       time.Duration `cbor:"1,keyasint"` // on the asker's clock; the answer returns it
	LastReceived uint64        `cbor:"2,keyasint"` // number of the last knowledge received; zero asks for all
}

// MessageKind implements Message.
func (HubRequest) MessageKind() Kind { return KindHubRequest }
