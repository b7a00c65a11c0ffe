package message

import "siskintide.example/siskintide/internal/core"

// ConfigBody carries an accepted configuration, encoded as in the platform's object store.
type ConfigBody struct {
	Revision core.Revision `cbor:"1,keyasint"`
	Body     []byte        `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (ConfigBody) MessageKind() Kind { return KindConfigBody }
