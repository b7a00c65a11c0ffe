package controlapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Grant is a ticket as the entry host holds it.
type Grant struct {
	Ticket core.Ticket
	// StartBefore is the latest time, on this host's monotonic clock, at which the request
	// may be sent to the target.
	StartBefore time.Time
	// Revoked is closed when the owner revokes the ticket, so that the generation is run on
	// another target. It may be nil.
	Revoked <-chan struct{}
}
