package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// PeerReport is the state that a host of the same data centre reported in its latest
// heartbeat.
type PeerReport struct {
	Host            core.HostID
	PlatformReached bool
	Degraded        bool
	ReceivedAt      time.Time // on this host's clock
}
