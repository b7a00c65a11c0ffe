package claims

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Table is the part of the platform that claims use. Errors have the types of package
// platform.
type Table interface {
	// Row reads one row; its version is zero when it does not exist.
	Row(ctx context.Context, key string) (core.Row, error)
	// Rows reads all rows whose keys begin with the prefix.
	Rows(ctx context.Context, prefix string) ([]core.Row, error)
	// Commit executes a transaction.
	Commit(ctx context.Context, tx core.Transaction) error
	// PutObject stores an object.
	PutObject(ctx context.Context, key string, body []byte) error
	// Object reads an object.
	Object(ctx context.Context, key string) ([]byte, error)
}
