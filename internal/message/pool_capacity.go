package message

import "siskintide.example/siskintide/internal/core"

// PoolCapacity reports the capacity that an owner has in one pool.
type PoolCapacity struct {
	Pool        core.PoolID       `cbor:"1,keyasint"`
	DataCentre  core.DataCentreID `cbor:"2,keyasint"`
	Headroom    core.Tokens       `cbor:"3,keyasint"` // forecast free memory of all owned targets together
	FreeStreams int               `cbor:"4,keyasint"` // tickets that could be granted now
	Queued      int               `cbor:"5,keyasint"`
	Targets     int               `cbor:"6,keyasint"`
}

// MessageKind implements Message.
func (PoolCapacity) MessageKind() Kind { return KindPoolCapacity }
