package message

import "siskintide.example/siskintide/internal/core"

// PartEvidence tells another host under which prompt parts engines have crashed.
type PartEvidence struct {
	Parts []core.PartEvidence `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (PartEvidence) MessageKind() Kind { return KindPartEvidence }
