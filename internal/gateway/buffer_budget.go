package gateway

import "sync/atomic"

// maxBufferedBytes bounds the memory for all responses that are being buffered. Responses of
// plain services have a few kilobytes; only those that do not end come near the bound together.
const maxBufferedBytes = 16 << 20

// bufferBudget counts the bytes of responses that are being buffered. It is safe for concurrent
// use.
type bufferBudget struct {
	used atomic.Int64
}

// take counts n more bytes. It returns false, and counts nothing, if they exceed the budget.
func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) <= maxBufferedBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

// give releases bytes that were taken.
func (b *bufferBudget) give(n int64) { b.used.Add(-n) }
