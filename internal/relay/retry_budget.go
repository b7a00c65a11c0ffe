package relay

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/decide/retry"
)

// retryBurst is the number of retries that a host may make at once after a failure,
// before successes have to earn them.
const retryBurst = 32

// RetryBudget is the host's one budget for retries and reruns. It is safe for concurrent use.
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

// Earn adds one success.
func (b *RetryBudget) Earn() {
	for {
		old := b.current.Load()
		next := old.Succeeded()
		if next == *old || b.current.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Spend takes one retry and reports whether the budget covered it.
func (b *RetryBudget) Spend() bool {
	for {
		old := b.current.Load()
		next, ok := old.Spend()
		if !ok || b.current.CompareAndSwap(old, &next) {
			return ok
		}
	}
}
