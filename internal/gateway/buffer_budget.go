package gateway

import (
	"sync/atomic"

	"siskintide.example/siskintide/internal/callerlimit"
)

// maxBufferedBytes bounds the memory for all responses and events that are being buffered.
// Responses of plain services have a few kilobytes; only those that do not end come near the
// bound together.
const maxBufferedBytes = 16 << 20

// bufferBudget counts the bytes of responses and events that are being buffered. It is safe for
// concurrent use.
type bufferBudget struct {
	used atomic.Int64
	// memory is the memory of the host for its callers, of which the buffers take a part; nil for no limit.
	memory *callerlimit.Limiter
}

// take counts n more bytes for a buffer that has held bytes of the budget. It returns false, and
// counts nothing, if the buffer would have more than is left for all others, so that none takes
// the whole budget.
func (b *bufferBudget) take(held, n int64) bool {
	for {
		used := b.used.Load()
		if held+n > maxBufferedBytes-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// give releases bytes that were taken.
func (b *bufferBudget) give(n int64) { b.used.Add(-n) }
