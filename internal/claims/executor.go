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
	// platformBackoff is the wait after a failure of the platform.
	platformBackoff = 200 * time.Millisecond
	// platformBudget bounds the time that one call may spend on the platform before its
	// caller is answered, and again on recording the outcome.
	platformBudget = 8 * time.Second
	// queueSlack is how much longer than the queue budget a ticket is waited for, so that
	// the owner's own refusal comes first.
	queueSlack = 5 * time.Second
	// clockMargin covers clocks of hosts that differ, when a claimant is given up.
	clockMargin = 30 * time.Second
)

// Executor runs calls with keys. It is safe for concurrent use.
type Executor struct {
	options Options
	batcher *batcher
}

// New returns an executor, which serves calls while Run runs.
func New(options Options) *Executor {
	if options.Backoff == 0 {
		options.Backoff = platformBackoff
	}
	return &Executor{options: options, batcher: newBatcher(options.Table, options.Clock)}
}

// Run packs writes into transactions and deletes old rows until the context ends. It is to
// end after the last call.
func (e *Executor) Run(ctx context.Context) {
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		sweeper{table: e.options.Table, clock: e.options.Clock}.run(ctx)
	}()
	e.batcher.run(ctx)
	<-swept
}

// Do runs one call and hands its result to reply, exactly once and as soon as it is
// known. It returns when the outcome has been recorded as well. A caller that leaves does
// not stop the call: its answer is kept for a repeat.
func (e *Executor) Do(ctx context.Context, job Job, reply func(Result)) {
	run := &execution{executor: e, job: job, key: rowKey(job), reply: reply}
	run.attempt = core.GenerationID(uuid.New())
	run.do(context.WithoutCancel(ctx))
}

// rowKey names the row of a key. Keys of different teams and services never meet.
func rowKey(job Job) string {
	digest := sha256.New()
	for _, part := range []string{string(job.Demand.Team), string(job.Service), job.Key} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part) // a hash takes every write
	}
	return rowPrefix + hex.EncodeToString(digest.Sum(nil)[:16])
}

// readRow reads a claim's row as an event.
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

// writeRow writes a claim's row if it has the version.
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
