package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// pendingRequest is a local caller's ticket request that has not been answered.
type pendingRequest struct {
	request  core.TicketRequest
	reply    chan<- reply
	arrived  time.Time
	sentAt   time.Time   // when the request was sent to the current owner
	owner    core.HostID // empty while no owner is known
	attempts int
	excluded map[core.HostID]bool // owners that refused or were lost
}
