package control

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/snapshot"
)

// Loop is the control goroutine's channel and published view. All state behind it belongs
// to the goroutine that runs Run.
type Loop struct {
	events   chan Event
	done     chan struct{}
	snapshot atomic.Pointer[snapshot.Snapshot]
	state    *state
	clock    clockwork.Clock
}

// NewLoop returns a loop that has not been started. Ports are given to Run, since they
// post events to the loop.
func NewLoop(options Options) *Loop {
	l := &Loop{
		events: make(chan Event, options.Settings.EventQueue),
		done:   make(chan struct{}),
		clock:  options.Clock,
		state:  newState(options),
	}
	l.snapshot.Store(l.state.view(l.clock.Now()))
	return l
}

// Run handles events until the context ends. It must be called once.
func (l *Loop) Run(ctx context.Context, ports Effects) {
	defer close(l.done)
	l.state.ports = ports
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

// Post hands an event to the control goroutine. It waits while the queue is full and
// drops the event once the loop has ended.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// publish swaps in a new snapshot if the state changed in a way that traffic sees.
func (l *Loop) publish() {
	if !l.state.dirty {
		return
	}
	l.state.dirty = false
	l.snapshot.Store(l.state.view(l.clock.Now()))
}
