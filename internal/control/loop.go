package control

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/snapshot"
)

// Loop is the event loop of the control goroutine. Its methods are safe for concurrent use;
// the state belongs to the goroutine that calls Run.
type Loop struct {
	events   chan Event
	done     chan struct{}
	snapshot atomic.Pointer[snapshot.Snapshot]
	state    *state
	clock    clockwork.Clock
}

// NewLoop returns a loop that has not been started. Effects are passed to Run and not to
// NewLoop, because their implementation needs the loop to post results to.
func NewLoop(options Options) *Loop {
	l := &Loop{
		events: make(chan Event, options.Settings.EventQueue),
		done:   make(chan struct{}),
		clock:  options.Clock,
		state:  newState(options),
	}
	l.snapshot.Store(l.state.buildSnapshot(l.clock.Now()))
	return l
}

// Run handles events until the context ends. It must be called at most once.
func (l *Loop) Run(ctx context.Context, effects Effects) {
	defer close(l.done)
	l.state.effects = effects
	ticker := l.clock.NewTicker(l.state.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.state.refuseAll()
			return
		case event := <-l.events:
			l.state.handle(event, l.clock.Now())
		case <-ticker.Chan():
			l.state.tick(l.clock.Now())
		}
		l.publish()
	}
}

// Post queues an event for the control goroutine. It blocks while the queue is full and
// drops the event once the loop has ended.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// publish stores a new snapshot if the state that traffic sees has changed.
func (l *Loop) publish() {
	if !l.state.dirty {
		return
	}
	l.state.dirty = false
	l.snapshot.Store(l.state.buildSnapshot(l.clock.Now()))
}
