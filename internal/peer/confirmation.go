package peer

// confirmation is the last frame of the handshake. It carries the dialer's proof.
type confirmation struct {
	Proof []byte `cbor:"1,keyasint"`
}
