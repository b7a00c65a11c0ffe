package fairness

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Entry is one waiting request.
type Entry struct {
	Demand     core.TicketRequest
	EnqueuedAt time.Time // when the request began to wait
	// BlockedAt is when the request was first in turn and did not fit anywhere, or zero.
	BlockedAt time.Time
}

// Deadline returns the moment at which the request must have been answered.
func (e *Entry) Deadline() time.Time { return e.EnqueuedAt.Add(e.Demand.QueueBudget) }
