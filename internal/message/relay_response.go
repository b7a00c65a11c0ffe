package message

// RelayResponse answers a relayed transaction.
type RelayResponse struct {
	ID        uint64 `cbor:"1,keyasint"`
	Committed bool   `cbor:"2,keyasint"`
	Conflict  bool   `cbor:"3,keyasint"` // a condition did not hold; nothing was written
	// Version is that of the row of the first write after the commit; zero if not known.
	Version uint64 `cbor:"4,keyasint,omitempty"`
}

// MessageKind implements Message.
func (RelayResponse) MessageKind() Kind { return KindRelayResponse }
