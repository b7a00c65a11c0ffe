package message

import "siskintide.example/siskintide/internal/core"

// PoolCapacity tells entry hosts what an owner can take for one pool.
type PoolCapacity struct {
	Pool        core.PoolID       `cbor:"1,keyasint"`
	DataCentre  core.DataCentreID `cbor:"2,keyasint"`
	Headroom    core.Tokens       `cbor:"3,keyasint"` // forecast free memory over all owned targets
	FreeStreams int               `cbor:"4,keyasint"` // tickets that could be granted now
	Queued      int               `cbor:"5,keyasint"`
	Targets     int               `cbor:"6,keyasint"`
}

// MessageKind implements Message.
func (PoolCapacity) MessageKind() Kind { return KindPoolCapacity }
