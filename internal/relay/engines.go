package relay

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// Engines is the client of model engines that the relay uses. Its errors are those of
// package engine.
type Engines interface {
	// Start starts a new stream at the ticket's engine.
	Start(ctx context.Context, ticket core.Ticket, req engine.Request) (FrameReader, error)
	// Resume reads a stream from the frame after the given one.
	Resume(ctx context.Context, address string, generation core.GenerationID, after core.Sequence, expect core.Incarnation) (FrameReader, error)
	// Cancel ends a generation.
	Cancel(ctx context.Context, address string, generation core.GenerationID) error
}
