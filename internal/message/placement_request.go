package message

import "siskintide.example/siskintide/internal/core"

// PlacementRequest asks a hub for a target.
type PlacementRequest struct {
	Number          uint64            `cbor:"1,keyasint"` // grows with each question on a link
	Pool            core.PoolID       `cbor:"2,keyasint"`
	Request         string            `cbor:"3,keyasint"`
	DataCentre      core.DataCentreID `cbor:"4,keyasint"`
	Memory          core.Tokens       `cbor:"5,keyasint"`
	WantsCopy       bool              `cbor:"6,keyasint,omitempty"`
	Avoid           []core.TargetID   `cbor:"7,keyasint,omitempty"`
	RunningOn       core.TargetID     `cbor:"8,keyasint,omitempty"` // set if only a place for a copy is asked for
	Prompt          core.Tokens       `cbor:"9,keyasint,omitempty"`
	NeedsGrant      bool              `cbor:"11,keyasint,omitempty"` // the asker's own share of second sends is used up
	MayWait         bool              `cbor:"12,keyasint,omitempty"` // no placement is wanted while all targets are crowded
	TransfersMemory bool              `cbor:"10,keyasint,omitempty"` // see placement.Need
}

// MessageKind implements Message.
func (PlacementRequest) MessageKind() Kind { return KindPlacementRequest }
