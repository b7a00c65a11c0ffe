package message

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HubRequest requests the age of the hub's state, and subscribes the sender to its updates.
// Revision, RegistryDigest and HostCount say what the sender has when it begins a subscription,
// so that the first update leaves it out.
type HubRequest struct {
	SentAt         time.Duration        `cbor:"1,keyasint"`           // on the sender's clock; returned in the response
	Subscription   uint64               `cbor:"2,keyasint"`           // changes when the sender needs a first update again
	Revision       core.Revision        `cbor:"3,keyasint,omitempty"` // of the configuration in force; zero for none
	RegistryDigest uint64               `cbor:"4,keyasint,omitempty"` // see registry.Registry.Digest; zero if no registry is known
	Rollouts       []core.RolloutReport `cbor:"6,keyasint,omitempty"` // of active rollouts
	HostCount      int                  `cbor:"5,keyasint,omitempty"` // hosts are only ever added to the list
}

// MessageKind implements Message.
func (HubRequest) MessageKind() Kind { return KindHubRequest }
