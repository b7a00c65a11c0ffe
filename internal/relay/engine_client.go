package relay

import (
	"context"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// EngineClient adapts an *engine.Client to the Engines interface.
type EngineClient struct {
	Client *engine.Client
}

// Start implements Engines.
func (c EngineClient) Start(ctx context.Context, ticket core.Ticket, req engine.Request) (FrameReader, error) {
	stream, err := c.Client.Start(ctx, ticket, req)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Resume implements Engines.
func (c EngineClient) Resume(ctx context.Context, address string, generation core.GenerationID, after core.Sequence, expect core.Incarnation) (FrameReader, error) {
	stream, err := c.Client.Resume(ctx, address, generation, after, expect)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Cancel implements Engines.
func (c EngineClient) Cancel(ctx context.Context, address string, generation core.GenerationID) error {
	return c.Client.Cancel(ctx, address, generation)
}
