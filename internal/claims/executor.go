package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/claim"
	"siskintide.example/siskintide/internal/platform"
)

const (
	// platformBackoff is the default wait after a failed platform call.
	platformBackoff = 200 * time.Millisecond
	// platformBudget bounds the time that one call spends on the platform. It restarts after
	// the wait for a ticket and after the call to the service.
	platformBudget = 8 * time.Second
	// queueSlack is added to the queue budget when waiting for a ticket, so that the owner's
	// own refusal arrives first.
	queueSlack = 5 * time.Second
	// clockMargin covers the clock difference between hosts when a claim expires.
	clockMargin = 30 * time.Second
)

// Executor runs calls with idempotency keys. It is safe for concurrent use.
type Executor struct {
	options Options
	batcher *batcher
}

// New returns an executor. Calls make progress only while Run is running.
func New(options Options) *Executor {
	if options.Backoff == 0 {
		options.Backoff = platformBackoff
	}
	return &Executor{options: options, batcher: newBatcher(options.Table, options.Clock)}
}

// Run batches writes into transactions and deletes expired rows until the context ends. The
// context must not end before the last call has returned.
func (e *Executor) Run(ctx context.Context) {
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		sweeper{table: e.options.Table, clock: e.options.Clock}.run(ctx)
	}()
	e.batcher.run(ctx)
	<-swept
}

// Do runs one call and passes its result to reply, exactly once and as soon as it is known.
// It returns after the outcome has been recorded. The end of ctx does not stop the call: its
// answer is kept for a retry with the same key.
func (e *Executor) Do(ctx context.Context, job Job, reply func(Result)) {
	call := &execution{executor: e, job: job, key: rowKey(job), reply: reply}
	call.attempt = core.GenerationID(uuid.New())
	call.run(context.WithoutCancel(ctx))
}

// rowKey returns the key of the row for an idempotency key. Equal keys of different teams or
// services have different rows.
func rowKey(job Job) string {
	digest := sha256.New()
	for _, part := range []string{string(job.TicketRequest.Team), string(job.Service), job.Key} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part) // writing to a hash never fails
	}
	return rowPrefix + hex.EncodeToString(digest.Sum(nil)[:16])
}

// readRow reads a claim's row and returns the event and the row's content.
func (e *Executor) readRow(ctx context.Context, key string) (claim.Event, rowBody) {
	row, err := e.options.Table.Row(ctx, key)
	if err != nil {
		return claim.Event{Kind: claim.EventReadFailed}, rowBody{}
	}
	body, record, err := decodeRow(row)
	if err != nil {
		return claim.Event{Kind: claim.EventReadFailed}, rowBody{}
	}
	return claim.Event{Kind: claim.EventRead, Version: row.Version, Record: record}, body
}

// writeRow writes a claim's row if it has the given version.
func (e *Executor) writeRow(ctx context.Context, key string, version uint64, body rowBody) claim.Event {
	value, err := json.Marshal(body)
	if err != nil {
		return claim.Event{Kind: claim.EventNotApplied}
	}
	done := make(chan error, 1)
	select {
	case e.batcher.queue <- write{condition: core.Condition{Key: key, Version: version}, value: value, done: done}:
	case <-ctx.Done():
		return claim.Event{Kind: claim.EventNotApplied}
	}
	select {
	case err = <-done:
		return claim.Event{Kind: writeEvent(err)}
	case <-ctx.Done():
		return claim.Event{Kind: claim.EventWriteAmbiguous}
	}
}

func writeEvent(err error) claim.EventKind {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return claim.EventCommitted
	case errors.As(err, &conflict):
		return claim.EventConflict
	case errors.As(err, &unavailable):
		return claim.EventNotApplied
	}
	return claim.EventWriteAmbiguous
}
