package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
)

const (
	// rowPrefix is the prefix of the row keys of all claims.
	rowPrefix = "claims/"
	// sweepInterval is the interval between two sweeps of a host. 400 hosts then take 40 of
	// the platform's reads a second.
	sweepInterval = 10 * time.Second
	// sweepPartitions is the number of partitions of the table, by the first three hex digits
	// of the key. Each sweep covers one at random, which keeps its read small.
	sweepPartitions = 1 << 12
)

// sweeper deletes the rows of claims whose retention time is over.
type sweeper struct {
	table Table
	clock clockwork.Clock
}

// run sweeps a random partition at each interval until the context ends.
func (s sweeper) run(ctx context.Context) {
	ticker := s.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.sweep(ctx, fmt.Sprintf("%s%03x", rowPrefix, rand.N(sweepPartitions)))
		case <-ctx.Done():
			return
		}
	}
}

// sweep deletes the expired rows of one partition, maxBatch at most. Failures are ignored: a
// later sweep deletes the rows, and nothing depends on their deletion.
func (s sweeper) sweep(ctx context.Context, prefix string) {
	rows, err := s.table.Rows(ctx, prefix)
	if err != nil {
		return
	}
	var tx core.Transaction
	for _, row := range rows {
		if len(tx.Writes) == maxBatch {
			break
		}
		if s.expired(row) {
			tx.Conditions = append(tx.Conditions, core.Condition{Key: row.Key, Version: row.Version})
			tx.Writes = append(tx.Writes, core.Write{Key: row.Key})
		}
	}
	if len(tx.Writes) > 0 {
		_ = s.table.Commit(ctx, tx)
	}
}

// expired reports whether the row may be deleted. A row that cannot be decoded is kept.
func (s sweeper) expired(row core.Row) bool {
	var body rowBody
	if err := json.Unmarshal(row.Value, &body); err != nil || body.DeleteMS == 0 {
		return false
	}
	return s.clock.Now().UnixMilli() >= body.DeleteMS
}
