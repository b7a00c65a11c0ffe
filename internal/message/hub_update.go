package message

import "siskintide.example/siskintide/internal/core"

// HubUpdate passes on what a hub has learnt of the platform.
type HubUpdate struct {
	Number        uint64              `cbor:"1,keyasint"` // counts what the hub sends to one asker
	Full          bool                `cbor:"2,keyasint"` // all that the hub knows, not only what is new
	Config        *core.RoutingConfig `cbor:"3,keyasint,omitempty"`
	HasEvacuated  bool                `cbor:"4,keyasint,omitempty"` // Evacuated is given
	Evacuated     []core.DataCentreID `cbor:"5,keyasint,omitempty"`
	Registrations []core.Registration `cbor:"6,keyasint,omitempty"`
	Removed       []core.TargetID     `cbor:"7,keyasint,omitempty"`
	FullRegistry  bool                `cbor:"9,keyasint,omitempty"` // Registrations is the whole registry
	Hosts         []core.Host         `cbor:"8,keyasint,omitempty"` // that share the deployment's bounds; empty for no news
}

// MessageKind implements Message.
func (HubUpdate) MessageKind() Kind { return KindHubUpdate }
