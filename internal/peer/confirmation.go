package peer

// confirm carries the dialling host's proof.
type confirm struct {
	Proof []byte `cbor:"1,keyasint"`
}
