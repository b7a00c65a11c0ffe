package gateway

import (
	"sync"
	"sync/atomic"

	"siskintide.example/siskintide/internal/core"
)

// eventSteps holds the largest step between the ids of two events in the streams of each pool. A caller that resumes
// a stream names one id only, and the step tells whether the engine has left events out after it. It is safe for
// concurrent use.
type eventSteps struct {
	pools sync.Map // core.PoolID to *atomic.Int64
}

// largest returns the largest step of a pool's streams; zero if none is known.
func (e *eventSteps) largest(pool core.PoolID) int64 {
	if known, ok := e.pools.Load(pool); ok {
		return known.(*atomic.Int64).Load()
	}
	return 0
}

// record records the largest step that a stream has shown; zero for none.
func (e *eventSteps) record(pool core.PoolID, step int64) {
	if step <= e.largest(pool) {
		return
	}
	known, _ := e.pools.LoadOrStore(pool, &atomic.Int64{})
	largest := known.(*atomic.Int64)
	for former := largest.Load(); step > former; former = largest.Load() {
		if largest.CompareAndSwap(former, step) {
			return
		}
	}
}
