package message

import "siskintide.example/siskintide/internal/core"

// RelayWanted asks a peer to carry out a transaction at the platform on behalf of a host that cannot reach it.
type RelayWanted struct {
	ID          uint64           `cbor:"1,keyasint"`
	Transaction core.Transaction `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (RelayWanted) MessageKind() Kind { return KindRelayWanted }
