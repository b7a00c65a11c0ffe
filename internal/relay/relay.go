package relay

import (
	"context"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/decide/retry"
)

const (
	// retryBurst is the number of reruns that a host may start at once after a failure,
	// before successes have to earn them.
	retryBurst = 32
	// keepAliveInterval keeps intermediaries from closing a stream that waits.
	keepAliveInterval = 10 * time.Second
	// cancelTimeout bounds a cancellation at an engine that may be dead.
	cancelTimeout = 2 * time.Second
	// endMarkerWait is how long a finished connection may take to end by itself, so that
	// it can be used again.
	endMarkerWait = 250 * time.Millisecond
	// stallThreshold is the token gap above which a stream counts as stalled.
	stallThreshold = time.Second
	// inboxFrames bounds the frames that wait for a slow caller.
	inboxFrames = 4
	// acquireTries bounds the tickets taken for one attempt when they lapse unused.
	acquireTries = 3
)

// Relay carries generations to callers. It is safe for concurrent use.
type Relay struct {
	options Options
	budget  atomic.Pointer[retry.Budget]
}

// New returns a relay with a full retry budget.
func New(options Options) *Relay {
	r := &Relay{options: options}
	budget := retry.NewBudget(retryBurst)
	r.budget.Store(&budget)
	return r
}

// Run carries one job to its end, or until the context ends because the caller has left.
// It returns when every ticket is closed and every goroutine of the job has ended.
func (r *Relay) Run(ctx context.Context, job Job, sink Sink) {
	newSession(r, job, sink).run(ctx)
}

// earn adds a success to the retry budget.
func (r *Relay) earn() {
	for {
		old := r.budget.Load()
		next := old.Succeeded()
		if r.budget.CompareAndSwap(old, &next) {
			return
		}
	}
}

// spend takes one rerun from the retry budget and reports whether it was covered.
func (r *Relay) spend() bool {
	for {
		old := r.budget.Load()
		next, ok := old.Spend()
		if !ok || r.budget.CompareAndSwap(old, &next) {
			return ok
		}
	}
}
