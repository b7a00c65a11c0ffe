package ownerstore

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Table is the part of the platform's table that a Store uses.
type Table interface {
	// Rows reads all rows whose keys begin with the prefix.
	Rows(ctx context.Context, prefix string) ([]core.Row, error)
	// Row reads one row; its version is zero when it does not exist.
	Row(ctx context.Context, key string) (core.Row, error)
	// Commit executes a transaction. Its errors have the types of package platform.
	Commit(ctx context.Context, transaction core.Transaction) error
}
