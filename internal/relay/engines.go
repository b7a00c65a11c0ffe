package relay

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// Engines is the client of model engines as the relay uses it. Failures have the types of
// package engine.
type Engines interface {
	// Start asks the ticket's engine for a new stream.
	Start(ctx context.Context, ticket core.Ticket, req engine.Request) (FrameReader, error)
	// Resume reads a stream again from the frame after the given one.
	Resume(ctx context.Context, address string, generation core.GenerationID, after core.Sequence, expect core.Incarnation) (FrameReader, error)
	// Cancel ends a generation.
	Cancel(ctx context.Context, address string, generation core.GenerationID) error
}
