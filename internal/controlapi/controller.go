package controlapi

import (
	"context"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

// Controller is what traffic may ask of the control thread. Its methods are safe for
// concurrent use.
type Controller interface {
	// Snapshot returns the latest view of the control state without waiting.
	Snapshot() *snapshot.Snapshot
	// Acquire waits until a ticket is granted or refused, or the context ends. A
	// failure is a *core.Refusal that says NotRun.
	Acquire(ctx context.Context, demand core.TicketRequest) (Grant, error)
	// Close gives a ticket back. Every granted ticket is closed exactly once.
	Close(outcome core.Outcome)
	// Track makes the number of output tokens of a running generation known to its
	// owner. The counter is read now and then until Close.
	Track(generation core.GenerationID, output *atomic.Int64)
	// ReportFirstToken tells the owner that a generation has produced its first token
	// after the given number of milliseconds.
	ReportFirstToken(generation core.GenerationID, firstTokenMS int64)
}
