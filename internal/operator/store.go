package operator

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Store is the platform's table and object store. A Commit that returns an error may have
// taken effect; the caller has to read the rows back.
type Store interface {
	Row(ctx context.Context, key string) (core.Row, error)
	Commit(ctx context.Context, transaction core.Transaction) error
	PutObject(ctx context.Context, key string, body []byte) error
	Object(ctx context.Context, key string) ([]byte, error)
}
