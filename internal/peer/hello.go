package peer

import "siskintide.example/siskintide/internal/core"

// hello is the first handshake frame of each end. The dialer sends it without a proof;
// the hello of the accepting host carries that host's proof.
type hello struct {
	Version uint64         `cbor:"1,keyasint"`
	Host    core.HostID    `cbor:"2,keyasint"`
	Session core.SessionID `cbor:"3,keyasint"`
	To      core.HostID    `cbor:"4,keyasint"` // host that the sender expects at the other end
	Nonce   []byte         `cbor:"5,keyasint"`
	Proof   []byte         `cbor:"6,keyasint,omitempty"`
}
