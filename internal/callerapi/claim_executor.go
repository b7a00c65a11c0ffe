package callerapi

import (
	"context"

	"siskintide.example/siskintide/internal/claims"
)

// ClaimExecutor executes calls that may run at most once.
type ClaimExecutor interface {
	// Do executes one call and calls reply exactly once, with its result.
	Do(ctx context.Context, job claims.Job, reply func(claims.Result))
}
