package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// peerLoad is the load that another host reported last, and its grants since then.
type peerLoad struct {
	loads  map[core.TargetID]Load
	grants []grant
	at     time.Duration // time of the report, or of the first grant if there is none
}
