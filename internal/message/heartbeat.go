package message

import "siskintide.example/siskintide/internal/core"

// Heartbeat reports that a host is alive, which revision it has in force and whether it
// reaches the platform.
type Heartbeat struct {
	Host            core.HostID    `cbor:"1,keyasint"`
	Session         core.SessionID `cbor:"2,keyasint"`
	Revision        core.Revision  `cbor:"3,keyasint"`
	Leaving         bool           `cbor:"4,keyasint,omitempty"`
	PlatformReached bool           `cbor:"5,keyasint,omitempty"`
	Degraded        bool           `cbor:"6,keyasint,omitempty"` // the sender still owns targets but cannot renew its lease
}

// MessageKind implements Message.
func (Heartbeat) MessageKind() Kind { return KindHeartbeat }
