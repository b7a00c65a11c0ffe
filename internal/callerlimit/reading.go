package callerlimit

import (
	"container/list"
	"math"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// Reading is a request whose body has not arrived completely. Such requests have not begun to run, and hold
// memory for their heads and for what has arrived. Its methods but abort are called by the reader of the body only.
type Reading struct {
	limiter *Limiter
	address string
	since   time.Duration
	abort   func()
	// due and received are the progress of the body. They change with each read, without the mutex.
	due      atomic.Int64
	received atomic.Int64

	// Guarded by the mutex of the limiter.
	element *list.Element // in Limiter.readings; nil once it has ended or was aborted
	aborted bool
}

// StartReading records that the body of a request begins to be read. If memory gets short and the body is too slow,
// abort is called, which must end the read. The result of a nil Limiter is nil.
func (l *Limiter) StartReading(address string, abort func()) *Reading {
	if l == nil {
		return nil
	}
	r := &Reading{limiter: l, address: address, since: l.options.Clock(), abort: abort}
	r.set(callerbudget.BeginBody(r.since, 0))
	l.mu.Lock()
	defer l.mu.Unlock()
	r.element = l.readings.PushBack(r)
	return r
}

// Receive records that n more bytes have arrived.
func (r *Reading) Receive(n int) {
	if r != nil && n > 0 {
		r.set(r.progress().Receive(r.limiter.options.Clock(), int64(n)))
	}
}

// Hold records that the host does not read the body until Resume, so that it cannot make progress.
func (r *Reading) Hold() {
	if r != nil {
		r.due.Store(math.MaxInt64)
	}
}

// Resume records that the host reads the body again.
func (r *Reading) Resume() {
	if r != nil {
		r.set(callerbudget.BeginBody(r.limiter.options.Clock(), r.received.Load()))
	}
}

func (r *Reading) progress() callerbudget.BodyProgress {
	return callerbudget.BodyProgress{Due: time.Duration(r.due.Load()), Received: r.received.Load()}
}

func (r *Reading) set(progress callerbudget.BodyProgress) {
	r.due.Store(int64(progress.Due))
	r.received.Store(progress.Received)
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

// Relieve aborts one request whose body is too slow, if there is one. It is called when memory or a connection was refused, so
// that callers that do not complete their requests do not hold it.
func (l *Limiter) Relieve() {
	if l == nil {
		return
	}
	now := l.options.Clock()
	l.mu.Lock()
	slow := l.slowBody(now)
	if slow == nil {
		l.mu.Unlock()
		return
	}
	slow.remove()
	slow.aborted = true
	l.mu.Unlock()
	l.count(reasonSlowBody, slow.address)
	slow.abort()
}

// slowBody returns the body that is given up first, or nil if none is too slow. The mutex is held.
func (l *Limiter) slowBody(now time.Duration) *Reading {
	var first *Reading
	var progress callerbudget.BodyProgress
	for e := l.readings.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Reading)
		if now-r.since < callerbudget.BodyPause {
			break // neither this one nor the later ones can be too slow yet
		}
		if p := r.progress(); p.TooSlow(now) && (first == nil || p.GoesBefore(progress)) {
			first, progress = r, p
		}
	}
	return first
}
