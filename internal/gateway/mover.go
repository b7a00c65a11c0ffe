package gateway

import "context"

// Mover copies the memory of running generations between engines.
type Mover interface {
	// Move copies the memory of a request from the engine that runs it. With final the
	// engine stops the generation first. It returns a handle to go on from.
	Move(ctx context.Context, from, request, to string, final bool) (KVHandle, error)
	// Free drops memory that was moved to an engine and is not needed.
	Free(ctx context.Context, at, handle string) error
}
