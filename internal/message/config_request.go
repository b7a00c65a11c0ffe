package message

import "siskintide.example/siskintide/internal/core"

// ConfigRequest requests a configuration newer than the given revision.
type ConfigRequest struct {
	Above core.Revision `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (ConfigRequest) MessageKind() Kind { return KindConfigRequest }
