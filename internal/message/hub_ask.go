package message

import "time"

// HubAsk asks a hub how recent its knowledge is.
type HubAsk struct {
	SentAt   time.Duration `cbor:"1,keyasint"` // on the asker's clock; the answer returns it
	Received uint64        `cbor:"2,keyasint"` // number of the last knowledge received; zero asks for all
}

// MessageKind implements Message.
func (HubAsk) MessageKind() Kind { return KindHubAsk }
