package retry

// Budget is a token bucket that counts tenths of a retry. It is immutable: its methods
// return a new value. The zero value holds no credit.
type Budget struct {
	tenths int64
	limit  int64
}

const (
	// tenthsPerRetry is the cost of one retry.
	tenthsPerRetry int64 = 10
	// tenthsPerSuccess is the credit of one success: it keeps retries under 10% of successes.
	tenthsPerSuccess int64 = 1
)

// NewBudget returns a budget that starts full and holds at most the given number of
// retries. The bound limits the burst after a failure that hits many streams at once.
func NewBudget(retries int64) Budget {
	limit := retries * tenthsPerRetry
	return Budget{tenths: limit, limit: limit}
}

// RecordSuccess returns the budget after one request has succeeded.
func (b Budget) RecordSuccess() Budget {
	b.tenths = min(b.tenths+tenthsPerSuccess, b.limit)
	return b
}

// TrySpend returns the budget after one retry and true, or the same budget and false when
// it does not cover a retry.
func (b Budget) TrySpend() (Budget, bool) {
	if b.tenths < tenthsPerRetry {
		return b, false
	}
	b.tenths -= tenthsPerRetry
	return b, true
}
