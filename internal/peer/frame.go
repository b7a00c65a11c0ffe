package peer

import "github.com/fxamacker/cbor/v2"

// frame is the unit on the wire: the array [kind, body]. Kind is wider than
// message.Kind so that kinds of later versions can be skipped.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Kind uint64
	Body cbor.RawMessage
}
