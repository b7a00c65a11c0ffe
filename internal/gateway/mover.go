package gateway

import "context"

// Mover moves the KV cache of running generations between engines.
type Mover interface {
	// Move copies the KV cache of a request from the engine that runs it to another one. If
	// final is set, the engine stops the generation first. It returns a handle with which
	// the generation can be resumed. It returns a *MoveRefusedError if the engine's response
	// tells whether it has stopped the generation, and a *NoResponseError if there was no
	// response. After any error but a *MoveRefusedError that is not known.
	Move(ctx context.Context, from, request, to string, final bool) (KVHandle, error)
	// Free releases a KV cache that was moved to an engine and is not needed.
	Free(ctx context.Context, at, handle string) error
}
