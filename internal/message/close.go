package message

import "siskintide.example/siskintide/internal/core"

// Close reports how the use of a ticket ended.
type Close struct {
	Outcome core.Outcome `cbor:"1,keyasint"`
}

// MessageKind implements Message.
func (Close) MessageKind() Kind { return KindClose }
