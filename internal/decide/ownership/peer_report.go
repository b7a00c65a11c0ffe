package ownership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// PeerReport is what a host of the same data centre last said of itself.
type PeerReport struct {
	Host            core.HostID
	PlatformReached bool
	Degraded        bool
	ReceivedAt      time.Time // on this host's clock
}
