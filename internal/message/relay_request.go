package message

import "siskintide.example/siskintide/internal/core"

// RelayRequest asks a peer to commit a transaction at the platform for a host that
// cannot reach it.
type RelayRequest struct {
	ID          uint64           `cbor:"1,keyasint"`
	Transaction core.Transaction `cbor:"2,keyasint"`
}

// MessageKind implements Message.
func (RelayRequest) MessageKind() Kind { return KindRelayRequest }
