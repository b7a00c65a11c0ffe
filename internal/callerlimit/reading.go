package callerlimit

import (
	"container/list"
	"time"
)

// slowBodyTime is how long the body of a request may arrive while memory is short. Bodies of ordinary callers
// arrive with their heads, or soon after.
const slowBodyTime = 2 * time.Second

// Reading is a request whose body has not arrived completely. Such requests have not begun to run, and hold
// memory for their heads and for what has arrived.
type Reading struct {
	limiter *Limiter
	address string
	since   time.Duration
	abort   func()

	// Guarded by the mutex of the limiter.
	element *list.Element // in Limiter.readings; nil once it has ended or was aborted
	aborted bool
}

// StartReading records that the body of a request begins to be read. If memory gets short and the body takes longer
// than others, abort is called, which must end the read. The result of a nil Limiter is nil.
func (l *Limiter) StartReading(address string, abort func()) *Reading {
	if l == nil {
		return nil
	}
	r := &Reading{limiter: l, address: address, since: l.options.Clock(), abort: abort}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.element = l.readings.PushBack(r)
	return r
}

// End records that the body is complete or given up. It reports whether the read was aborted.
func (r *Reading) End() bool {
	if r == nil {
		return false
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.remove()
	return r.aborted
}

// remove removes the request from the list. The mutex is held.
func (r *Reading) remove() {
	if r.element != nil {
		r.limiter.readings.Remove(r.element)
		r.element = nil
	}
}

// Relieve aborts the request whose body has been arriving for the longest time, if that is slowBodyTime or more. It is
// called when memory was refused, so that callers that do not complete their requests do not hold it.
func (l *Limiter) Relieve() {
	if l == nil {
		return
	}
	now := l.options.Clock()
	l.mu.Lock()
	var slowest *Reading
	if front := l.readings.Front(); front != nil {
		slowest = front.Value.(*Reading)
	}
	if slowest == nil || now-slowest.since < slowBodyTime {
		l.mu.Unlock()
		return
	}
	slowest.remove()
	slowest.aborted = true
	l.mu.Unlock()
	l.count(reasonSlowBody, slowest.address)
	slowest.abort()
}
