package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// maxBodyBudget is the largest size of a bodyBudget in bytes.
const maxBodyBudget = math.MaxInt64 / 2

// bodyBudget bounds the bytes of large request bodies that are held at a time. Bodies wait for room in the order of their
// arrival. It is safe for concurrent use.
type bodyBudget struct {
	bytes *semaphore.Weighted // of maxBodyBudget bytes; those beyond the size are withheld
	size  atomic.Int64

	mu       sync.Mutex         // held by resize
	withheld int64              // changed by resize, and by a reduction that resize waits for
	cancel   context.CancelFunc // ends a reduction that waits for bytes; nil if there was none
	reduced  chan struct{}      // closed when that has ended
}

func newBodyBudget(size int64) *bodyBudget {
	b := &bodyBudget{bytes: semaphore.NewWeighted(maxBodyBudget)}
	b.resize(size)
	return b
}

// TryAcquire takes n bytes. It returns false, and takes nothing, if there is no room at the moment.
func (b *bodyBudget) TryAcquire(n int64) bool { return n <= b.size.Load() && b.bytes.TryAcquire(n) }

// Acquire takes n bytes once there is room for them. It returns a *TooLargeError if there never is, and the error of the context
// if that ends before.
func (b *bodyBudget) Acquire(ctx context.Context, n int64) error {
	if size := b.size.Load(); n > size {
		return &TooLargeError{Part: "body", Limit: size}
	}
	return b.bytes.Acquire(ctx, n)
}

// Release returns bytes that were taken.
func (b *bodyBudget) Release(n int64) { b.bytes.Release(n) }

// resize changes the size. If more than the new size is taken, nobody gets any until enough was returned.
func (b *bodyBudget) resize(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cancel != nil {
		b.cancel()
		<-b.reduced
		b.cancel = nil
	}
	size = min(max(size, 0), maxBodyBudget)
	b.size.Store(size)
	withhold := maxBodyBudget - size
	if withhold <= b.withheld {
		b.bytes.Release(b.withheld - withhold)
		b.withheld = withhold
		return
	}
	more := withhold - b.withheld
	if b.bytes.TryAcquire(more) {
		b.withheld = withhold
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	reduced := make(chan struct{})
	b.cancel, b.reduced = cancel, reduced
	go func() {
		defer close(reduced)
		if b.bytes.Acquire(ctx, more) == nil { // those who come later wait behind it
			b.withheld = withhold
		}
	}()
}
