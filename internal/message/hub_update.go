package message

import "siskintide.example/siskintide/internal/core"

// HubUpdate is an update of the platform's state from a hub to a subscriber. The hub has all
// changes of configuration and evacuations up to ConfigRevision of the platform's store, and all
// changes of the registry up to RegistryRevision; the subscriber may have newer ones.
type HubUpdate struct {
	Number        uint64                       `cbor:"1,keyasint"` // counts the updates to one subscriber
	First         bool                         `cbor:"2,keyasint"` // the update begins a subscription: it holds all that the subscriber lacks
	Config        *Shared[*core.RoutingConfig] `cbor:"3,keyasint,omitempty"`
	HasEvacuated  bool                         `cbor:"4,keyasint,omitempty"` // Evacuated is set
	Evacuated     []core.DataCentreID          `cbor:"5,keyasint,omitempty"`
	Registrations []core.Registration          `cbor:"6,keyasint,omitempty"`
	Removed       []core.TargetID              `cbor:"7,keyasint,omitempty"`
	Registry      *Shared[[]core.Registration] `cbor:"9,keyasint,omitempty"` // the whole registry
	Hosts         []core.Host                  `cbor:"8,keyasint,omitempty"` // hosts of the deployment; empty if unchanged

	// Rollouts has the records of rollouts that have changed, or all of them in a first update with HasRollouts.
	Rollouts    []core.RolloutRecord `cbor:"15,keyasint,omitempty"`
	HasRollouts bool                 `cbor:"16,keyasint,omitempty"`

	RegistryDigest   uint64 `cbor:"12,keyasint,omitempty"` // of the hub's registry, in a first update that leaves it out
	ConfigRevision   uint64 `cbor:"10,keyasint"`
	RegistryRevision uint64 `cbor:"11,keyasint"`
	ConfigEra        uint64 `cbor:"13,keyasint,omitempty"` // of the store, in which ConfigRevision counts
	RegistryEra      uint64 `cbor:"14,keyasint,omitempty"` // of the store, in which RegistryRevision counts
}

// ConfigPosition returns the position of the store up to which the hub has all changes of configuration
// and evacuations.
func (m HubUpdate) ConfigPosition() core.StorePosition {
	return core.StorePosition{Era: m.ConfigEra, Revision: m.ConfigRevision}
}

// RegistryPosition returns the position of the store up to which the hub has all changes of the registry.
func (m HubUpdate) RegistryPosition() core.StorePosition {
	return core.StorePosition{Era: m.RegistryEra, Revision: m.RegistryRevision}
}

// MessageKind implements Message.
func (HubUpdate) MessageKind() Kind { return KindHubUpdate }
