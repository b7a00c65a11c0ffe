package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// peerLoad is another host's last account of its work.
type peerLoad struct {
	loads map[core.TargetID]Load
	at    time.Duration
}
