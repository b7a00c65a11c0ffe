package callerapi

import (
	"context"

	"siskintide.example/siskintide/internal/claims"
)

// Claims carries out calls that may run at most once.
type Claims interface {
	// Do runs one call and hands its result to reply exactly once.
	Do(ctx context.Context, job claims.Job, reply func(claims.Result))
}
