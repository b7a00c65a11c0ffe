package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// pending is a demand of a local caller that has no answer yet.
type pending struct {
	demand   core.TicketRequest
	reply    chan<- reply
	arrived  time.Time
	sentAt   time.Time   // when the present owner was asked
	owner    core.HostID // empty while no owner is known
	tries    int
	rejected map[core.HostID]bool // owners that refused or were lost
}
