package peer

import "siskintide.example/siskintide/internal/core"

// hello introduces a host. The dialling host sends it without a proof; the answer of the
// accepting host carries one.
type hello struct {
	Version uint64         `cbor:"1,keyasint"`
	Host    core.HostID    `cbor:"2,keyasint"`
	Session core.SessionID `cbor:"3,keyasint"`
	To      core.HostID    `cbor:"4,keyasint"` // host that the sender means to reach
	Nonce   []byte         `cbor:"5,keyasint"`
	Proof   []byte         `cbor:"6,keyasint,omitempty"`
}
