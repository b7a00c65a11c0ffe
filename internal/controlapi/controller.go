package controlapi

import (
	"context"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

// Controller gives traffic access to the control goroutine. Its methods are safe for
// concurrent use.
type Controller interface {
	// Snapshot returns the latest snapshot of the control state. It does not block.
	Snapshot() *snapshot.Snapshot
	// Acquire blocks until a ticket is granted or refused, or the context ends. The error
	// is a *core.Refusal whose Run is NotRun.
	Acquire(ctx context.Context, request core.TicketRequest) (Grant, error)
	// Close closes a ticket at its owner. Every granted ticket must be closed exactly once.
	Close(outcome core.Outcome)
	// Track reports the number of output tokens of a running generation to the owner of its
	// ticket. The counter is read periodically until Close.
	Track(generation core.GenerationID, output *atomic.Int64)
	// ReportFirstToken reports to the owner of a ticket that the generation produced its
	// first token after the given number of milliseconds.
	ReportFirstToken(generation core.GenerationID, firstTokenMS int64)
}
