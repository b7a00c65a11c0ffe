package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// peerLoad is another host's last account of its work, and what it was given since.
type peerLoad struct {
	loads  map[core.TargetID]Load
	grants []grant
	at     time.Duration
}
