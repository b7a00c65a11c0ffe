package gateway

import (
	"sync"

	"siskintide.example/siskintide/internal/core"
)

// eventSteps holds the largest step between the ids of two events in the latest streams of each pool. A caller that
// resumes a stream names one id only, and the step tells whether the engine has left events out after it. It is safe for
// concurrent use. The zero eventSteps knows no step.
type eventSteps struct {
	mu    sync.Mutex
	pools map[core.PoolID]*poolSteps
}

// largest returns the largest step of a pool's latest streams; zero if none is known.
func (e *eventSteps) largest(pool core.PoolID) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.pools[pool]; known != nil {
		return known.largest()
	}
	return 0
}

// record records the largest step that a stream has shown; zero for none.
func (e *eventSteps) record(pool core.PoolID, step int64) {
	if step <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pools == nil {
		e.pools = map[core.PoolID]*poolSteps{}
	}
	if e.pools[pool] == nil {
		e.pools[pool] = &poolSteps{}
	}
	e.pools[pool].record(step)
}
