package message

import "siskintide.example/siskintide/internal/core"

// Progress reports the output so far of a batch of running generations.
type Progress struct {
	Streams []core.Progress `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (Progress) MessageKind() Kind { return KindProgress }
