// Package eventloop runs the one goroutine that owns a stand-in's state.
package eventloop

import "time"

// Loop carries out actions on a state of type S, one after another, in one goroutine.
type Loop[S any] struct {
	actions chan func(S)
	stop    chan struct{}
	stopped chan struct{}
}

// New starts the goroutine. After each action it asks wake for a channel, which may be
// nil, and calls awake when that delivers. Close ends the goroutine.
func New[S any](state S, wake func(S) <-chan time.Time, awake func(S)) *Loop[S] {
	o := &Loop[S]{
		actions: make(chan func(S)),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go o.run(state, wake, awake)
	return o
}

// NewPassive starts a goroutine whose state changes only by actions.
func NewPassive[S any](state S) *Loop[S] {
	return New(state, func(S) <-chan time.Time { return nil }, func(S) {})
}

func (o *Loop[S]) run(state S, wake func(S) <-chan time.Time, awake func(S)) {
	defer close(o.stopped)
	for {
		select {
		case action := <-o.actions:
			action(state)
		case <-wake(state):
			awake(state)
		case <-o.stop:
			return
		}
	}
}

// Do carries out an action and waits for it. It reports false, and has done nothing,
// after Close.
func (o *Loop[S]) Do(action func(S)) bool {
	done := make(chan struct{})
	wrapped := func(state S) {
		action(state)
		close(done)
	}
	select {
	case o.actions <- wrapped:
		<-done
		return true
	case <-o.stopped:
		return false
	}
}

// Done is closed when the goroutine has ended.
func (o *Loop[S]) Done() <-chan struct{} { return o.stopped }

// Close ends the goroutine and waits for its end. It is called once.
func (o *Loop[S]) Close() {
	close(o.stop)
	<-o.stopped
}
