package claims

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/platform"
)

const (
	// maxBatch bounds the writes of one transaction, and so what a lost answer leaves in doubt.
	maxBatch = 64
	// batchWindow is how long a write waits for others to share its transaction.
	batchWindow = 2 * time.Millisecond
	// maxCommits bounds the transactions that one host has under way, so that a slow
	// platform is not flooded.
	maxCommits = 4
	// commitTimeout bounds one transaction.
	commitTimeout = 5 * time.Second
)

// batcher packs writes into transactions. Its fields belong to the goroutine of run.
type batcher struct {
	table   Table
	clock   clockwork.Clock
	queue   chan write
	slots   chan struct{} // one element for each transaction under way
	delayed []write       // writes whose key is in the batch already
}

func newBatcher(table Table, clock clockwork.Clock) *batcher {
	return &batcher{table: table, clock: clock, queue: make(chan write), slots: make(chan struct{}, maxCommits)}
}

// run serves writes until the context ends, then waits for the transactions under way.
func (b *batcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := b.collect(ctx)
		if len(batch) == 0 {
			continue
		}
		b.slots <- struct{}{}
		go func() {
			defer func() { <-b.slots }()
			b.commit(batch)
		}()
	}
	for range maxCommits {
		b.slots <- struct{}{}
	}
}

// collect waits for a write and gathers those that follow within the window.
func (b *batcher) collect(ctx context.Context) []write {
	batch := b.takeDelayed()
	if len(batch) == 0 {
		select {
		case w := <-b.queue:
			batch = append(batch, w)
		case <-ctx.Done():
			return nil
		}
	}
	timer := b.clock.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case w := <-b.queue:
			batch = b.add(batch, w)
		case <-timer.Chan():
			return batch
		}
	}
	return batch
}

func (b *batcher) takeDelayed() []write {
	delayed := b.delayed
	b.delayed = nil
	var batch []write
	for _, w := range delayed {
		batch = b.add(batch, w)
	}
	return batch
}

// add puts a write into the batch, or delays it when the batch has one for the same key.
func (b *batcher) add(batch []write, w write) []write {
	for _, other := range batch {
		if other.condition.Key == w.condition.Key {
			b.delayed = append(b.delayed, w)
			return batch
		}
	}
	return append(batch, w)
}

// commit carries out a batch. A conflict fails the whole transaction, so the writes that
// conflict are taken out and the others are tried again.
func (b *batcher) commit(batch []write) {
	for len(batch) > 0 {
		err := b.commitOnce(batch)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || len(batch) == 1 {
			finish(batch, err)
			return
		}
		failed, rest := splitConflicts(batch, conflict.Keys)
		if len(failed) == 0 { // the platform did not name a key of the batch
			b.commit(batch[:len(batch)/2])
			batch = batch[len(batch)/2:]
			continue
		}
		finish(failed, err)
		batch = rest
	}
}

func (b *batcher) commitOnce(batch []write) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	var tx core.Transaction
	for _, w := range batch {
		tx.Conditions = append(tx.Conditions, w.condition)
		tx.Writes = append(tx.Writes, core.Write{Key: w.condition.Key, Value: w.value})
	}
	return b.table.Commit(ctx, tx)
}

func splitConflicts(batch []write, keys []string) (failed, rest []write) {
	conflicting := map[string]bool{}
	for _, key := range keys {
		conflicting[key] = true
	}
	for _, w := range batch {
		if conflicting[w.condition.Key] {
			failed = append(failed, w)
		} else {
			rest = append(rest, w)
		}
	}
	return failed, rest
}

func finish(batch []write, err error) {
	for _, w := range batch {
		w.done <- err
	}
}
