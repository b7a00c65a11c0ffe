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
	// maxBatch bounds the writes of one transaction, and so the number of writes whose outcome
	// is unknown after a lost response.
	maxBatch = 64
	// batchWindow is the time for which a batch collects further writes.
	batchWindow = 2 * time.Millisecond
	// maxCommits bounds the concurrent transactions of one host, so that a slow platform is
	// not overloaded.
	maxCommits = 4
	// commitTimeout bounds one transaction.
	commitTimeout = 5 * time.Second
)

// batcher batches writes into transactions. Only the goroutine of run uses delayed.
type batcher struct {
	table   Table
	clock   clockwork.Clock
	queue   chan write
	slots   chan struct{} // semaphore with one element for each transaction in flight
	delayed []write       // writes whose key was already in the batch
}

func newBatcher(table Table, clock clockwork.Clock) *batcher {
	return &batcher{table: table, clock: clock, queue: make(chan write), slots: make(chan struct{}, maxCommits)}
}

// run commits writes until the context ends, then waits for the transactions in flight.
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

// collect waits for a write and adds the writes that follow within batchWindow.
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

// add appends a write to the batch, or delays it if the batch has one for the same key.
func (b *batcher) add(batch []write, w write) []write {
	for _, other := range batch {
		if other.condition.Key == w.condition.Key {
			b.delayed = append(b.delayed, w)
			return batch
		}
	}
	return append(batch, w)
}

// commit commits a batch. A conflict fails the whole transaction, so the conflicting writes
// are removed and the others are committed again.
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
