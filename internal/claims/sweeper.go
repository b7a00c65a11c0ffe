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
	// rowPrefix begins the keys of all claims.
	rowPrefix = "claims/"
	// sweepInterval is how often a host looks for old rows: 400 hosts then take 40 of the
	// platform's reads a second.
	sweepInterval = 10 * time.Second
	// sweepParts is the number of parts, by the first three digits of the key, of which
	// each sweep takes one at random, so that a reading stays small.
	sweepParts = 1 << 12
)

// sweeper deletes the rows of claims that need not be kept any longer.
type sweeper struct {
	table Table
	clock clockwork.Clock
}

// run sweeps one part after the other until the context ends.
func (s sweeper) run(ctx context.Context) {
	ticker := s.clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.sweep(ctx, fmt.Sprintf("%s%03x", rowPrefix, rand.N(sweepParts)))
		case <-ctx.Done():
			return
		}
	}
}

// sweep deletes the old rows of one part. A failure is left to a later sweep: nothing
// depends on a row being gone.
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
		if s.old(row) {
			tx.Conditions = append(tx.Conditions, core.Condition{Key: row.Key, Version: row.Version})
			tx.Writes = append(tx.Writes, core.Write{Key: row.Key})
		}
	}
	if len(tx.Writes) > 0 {
		_ = s.table.Commit(ctx, tx)
	}
}

// old reports whether the row may be deleted. A row that cannot be read is kept.
func (s sweeper) old(row core.Row) bool {
	var body rowBody
	if err := json.Unmarshal(row.Value, &body); err != nil || body.DeleteMS == 0 {
		return false
	}
	return s.clock.Now().UnixMilli() >= body.DeleteMS
}
