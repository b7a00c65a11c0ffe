package ownerstore

import (
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Table is the part of the platform's table that the ledger uses.
type Table interface {
	// Rows reads all rows whose keys begin with the prefix.
	Rows(ctx context.Context, prefix string) ([]core.Row, error)
	// Row reads one row; its version is zero when it does not exist.
	Row(ctx context.Context, key string) (core.Row, error)
	// Commit carries out a transaction; its failures are those of package platform.
	Commit(ctx context.Context, transaction core.Transaction) error
}
