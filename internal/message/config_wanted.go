package message

import "siskintide.example/siskintide/internal/core"

// ConfigWanted asks for a configuration newer than the given revision.
type ConfigWanted struct {
	Above core.Revision `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (ConfigWanted) MessageKind() Kind { return KindConfigWanted }
