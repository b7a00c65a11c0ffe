package controlapi

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Grant is a ticket in the hands of the entry host.
type Grant struct {
	Ticket core.Ticket
	// StartBefore is the last moment, on this host's monotonic clock, at which the
	// request may be sent to the target.
	StartBefore time.Time
	// Revoked is closed when the owner asks the holder to move the generation to
	// another target. It may be nil.
	Revoked <-chan struct{}
}
