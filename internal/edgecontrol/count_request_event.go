package edgecontrol

import "siskintide.example/siskintide/internal/core"

// countRequestEvent counts one request of a caller, which adds to the retry budget.
type countRequestEvent struct {
	pool core.PoolID
}

func (e countRequestEvent) apply(s *state) { s.retryBudget(e.pool).RecordRequest(s.now()) }
