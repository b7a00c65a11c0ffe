package message

import "siskintide.example/siskintide/internal/core"

// Progress reports the output of running generations in one batch.
type Progress struct {
	Streams []core.Progress `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (Progress) MessageKind() Kind { return KindProgress }
