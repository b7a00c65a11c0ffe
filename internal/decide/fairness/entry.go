package fairness

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Entry is one waiting request.
type Entry struct {
	Request    core.TicketRequest
	EnqueuedAt time.Time // when the request began to wait
	// BlockedAt is when the request first was at the head of the queue and no target had room
	// for it, or zero.
	BlockedAt time.Time
}

// Deadline returns the time by which the request must be granted or refused.
func (e *Entry) Deadline() time.Time { return e.EnqueuedAt.Add(e.Request.QueueBudget) }
