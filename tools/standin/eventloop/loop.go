// Package eventloop runs the single goroutine that owns a stand-in's state.
package eventloop

import "time"

// Loop runs actions on a state of type S, one at a time, in one goroutine.
type Loop[S any] struct {
	actions chan func(S)
	stop    chan struct{}
	stopped chan struct{}
}

// New starts the loop. Before each iteration it calls nextWake for a channel, which may be
// nil, and calls onWake when it receives from that channel. Close ends the loop.
func New[S any](state S, nextWake func(S) <-chan time.Time, onWake func(S)) *Loop[S] {
	l := &Loop[S]{
		actions: make(chan func(S)),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go l.run(state, nextWake, onWake)
	return l
}

// NewPassive starts a loop whose state is changed only by actions, without timers.
func NewPassive[S any](state S) *Loop[S] {
	return New(state, func(S) <-chan time.Time { return nil }, func(S) {})
}

func (l *Loop[S]) run(state S, nextWake func(S) <-chan time.Time, onWake func(S)) {
	defer close(l.stopped)
	for {
		select {
		case action := <-l.actions:
			action(state)
		case <-nextWake(state):
			onWake(state)
		case <-l.stop:
			return
		}
	}
}

// Do runs an action in the loop and waits until it has finished. After Close it does
// nothing and reports false.
func (l *Loop[S]) Do(action func(S)) bool {
	done := make(chan struct{})
	wrapped := func(state S) {
		action(state)
		close(done)
	}
	select {
	case l.actions <- wrapped:
		<-done
		return true
	case <-l.stopped:
		return false
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop[S]) Done() <-chan struct{} { return l.stopped }

// Close ends the loop and waits for its goroutine. It must be called only once.
func (l *Loop[S]) Close() {
	close(l.stop)
	<-l.stopped
}
