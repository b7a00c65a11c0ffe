package relay

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/decide/retry"
)

// retryBurst is the number of retries that a host may make at once after a failure. Further
// retries have to be earned by successes.
const retryBurst = 32

// RetryBudget is the budget for retries and reruns, shared by all requests of the host. It
// is safe for concurrent use.
type RetryBudget struct {
	current atomic.Pointer[retry.Budget]
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	budget := retry.NewBudget(retryBurst)
	b.current.Store(&budget)
	return b
}

// RecordSuccess records one success.
func (b *RetryBudget) RecordSuccess() {
	for {
		old := b.current.Load()
		next := old.RecordSuccess()
		if next == *old || b.current.CompareAndSwap(old, &next) {
			return
		}
	}
}

// TrySpend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TrySpend() bool {
	for {
		old := b.current.Load()
		next, ok := old.TrySpend()
		if !ok || b.current.CompareAndSwap(old, &next) {
			return ok
		}
	}
}
