package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// PlacementRequest requests a target from a hub.
type PlacementRequest struct {
	Number          uint64            `cbor:"1,keyasint"` // grows with each placement that the sender requests
	Pool            core.PoolID       `cbor:"2,keyasint"`
	Request         string            `cbor:"3,keyasint"` // id of the caller's request
	DataCentre      core.DataCentreID `cbor:"4,keyasint"`
	Memory          core.Tokens       `cbor:"5,keyasint"`
	WantsCopy       bool              `cbor:"6,keyasint,omitempty"`
	Avoid           []core.TargetID   `cbor:"7,keyasint,omitempty"`
	RunningOn       core.TargetID     `cbor:"8,keyasint,omitempty"` // target of the running generation; set if only a target for a copy is requested
	Prompt          core.Tokens       `cbor:"9,keyasint,omitempty"`
	NeedsGrant      bool              `cbor:"11,keyasint,omitempty"` // the sender's share of the retry budget is used up
	MayWait         bool              `cbor:"12,keyasint,omitempty"` // the request can wait while all targets are at capacity
	TransfersMemory bool              `cbor:"10,keyasint,omitempty"` // see placement.Request
	// Versioned is set if only targets of Version may be chosen, and Probe if only those that are probed.
	Versioned bool         `cbor:"21,keyasint,omitempty"`
	Version   core.Version `cbor:"22,keyasint,omitempty"`
	Probe     bool         `cbor:"23,keyasint,omitempty"`
	// The following decide which requests are served while all targets are limited; see
	// edgecontrol.PlacementRequest.
	Team     core.TeamID   `cbor:"13,keyasint,omitempty"`
	Priority core.Priority `cbor:"14,keyasint,omitempty"`
	TimeLeft time.Duration `cbor:"15,keyasint,omitempty"`
	MaxWait  time.Duration `cbor:"16,keyasint,omitempty"`
	Content  uint64        `cbor:"17,keyasint,omitempty"`
	// Prefix has the parts of the prompt in order. It is set only if the pool weighs prefixes.
	Prefix []core.PrefixPart `cbor:"18,keyasint,omitempty"`
	// GapGoal is the longest pause between events that is not late; zero if the pace of the pool's engines is not
	// learned.
	GapGoal time.Duration `cbor:"19,keyasint,omitempty"`
}

// MessageKind implements Message.
func (PlacementRequest) MessageKind() Kind { return KindPlacementRequest }
