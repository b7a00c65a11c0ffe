package peer

import "github.com/fxamacker/cbor/v2"

// frame is the unit of transmission: the array [kind, body]. Kind is wider than
// message.Kind, to hold the kinds of the link itself and to let a receiver skip the kinds
// of later versions.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind uint64
	Body cbor.RawMessage
}
