package message

// RelayResponse is the result of a relayed transaction.
type RelayResponse struct {
	ID        uint64 `cbor:"1,keyasint"`
	Committed bool   `cbor:"2,keyasint"`
	Conflict  bool   `cbor:"3,keyasint"` // a condition did not hold; nothing was written
	// Version is the version of the first written row after the commit; zero if unknown.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// MessageKind implements Message.
func (RelayResponse) MessageKind() Kind { return KindRelayResponse }
