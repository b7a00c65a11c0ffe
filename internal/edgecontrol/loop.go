package edgecontrol

import (
	"context"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

const (
	// queuedEvents bounds the events that wait for the control goroutine.
	queuedEvents = 512
	// tickPeriod is the time between looks at what time alone changes.
	tickPeriod = 100 * time.Millisecond
)

// Loop is the control goroutine and the way to reach it. Its methods are safe for
// concurrent use.
type Loop struct {
	options Options
	events  chan event
	view    atomic.Pointer[View]
	done    chan struct{}
	first   chan struct{} // closed when the first view is replaced
}

// NewLoop returns a loop that knows nothing. Run makes it work.
func NewLoop(options Options) *Loop {
	l := &Loop{options: options, events: make(chan event, queuedEvents), done: make(chan struct{})}
	l.options.post = func(e event) { l.post(context.Background(), e) }
	l.first = make(chan struct{})
	l.view.Store(&View{Changed: l.first})
	return l
}

// Run owns the control state until the context ends. It is called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	s := newState(&l.options)
	s.startedAt = s.now()
	changed := make(chan struct{})
	s.view.Changed = changed
	l.publish(s)
	close(l.first)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e.apply(s)
		case <-ticker.C:
			s.tick()
		}
		if s.membersChanged {
			s.view.Targets = s.registry.Entries()
			s.membersChanged, s.changed = false, true
		}
		if s.changed {
			former := changed
			changed = make(chan struct{})
			s.view.Changed, s.pools = changed, nil
			before := l.View()
			l.publish(s)
			s.passOn(before, l.View())
			close(former)
			s.changed = false
		}
	}
}

func (l *Loop) publish(s *state) {
	view := s.view
	l.view.Store(&view)
}

// tick acts on the passing of time.
func (s *state) tick() {
	if s.registry.Expire(s.now()) {
		s.log.Info("targets that did not register again after the outage are gone")
		s.membersChanged = true
	}
	s.book.Expire(s.now())
	s.steer()
	s.sendWork()
}

// View returns what the host knows now.
func (l *Loop) View() *View { return l.view.Load() }

// post queues an event. It is false if the loop or the context has ended.
func (l *Loop) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// HandleUpdate takes over the result of a read of the store.
func (l *Loop) HandleUpdate(k Update) {
	l.post(context.Background(), knowledgeEvent{Update: k})
}

// HandleStoreStatus notes whether the store answers.
func (l *Loop) HandleStoreStatus(up bool) { l.post(context.Background(), storeEvent{up: up}) }

// HandleLink notes that the link to another host came up or ended.
func (l *Loop) HandleLink(host core.HostID, up bool) {
	l.post(context.Background(), linkEvent{host: host, up: up})
}

// HandleMessage takes in a message of another host.
func (l *Loop) HandleMessage(from core.HostID, m message.Message) {
	l.post(context.Background(), messageEvent{from: from, message: m})
}

// Leave notes that this host shuts down.
func (l *Loop) Leave() { l.post(context.Background(), leaveEvent{}) }

// CountRequest notes one request of a caller for a pool.
func (l *Loop) CountRequest(pool core.PoolID) { l.post(context.Background(), countEvent{pool: pool}) }

// Place chooses a target, and counts the work there until End. It is false if there is
// no target, or the context ended.
func (l *Loop) Place(ctx context.Context, placing PlacementRequest) (Assignment, bool) {
	reply := make(chan Assignment, 1)
	if !l.post(ctx, placeEvent{placing: placing, reply: reply}) {
		return Assignment{}, false
	}
	select {
	case use := <-reply:
		return use, use.Target.Target != ""
	case <-l.done:
		return Assignment{}, false
	}
}

// MarkStarted notes that the prompt of a use has been read, and returns the use as it is now.
func (l *Loop) MarkStarted(use Assignment) Assignment {
	if use.load.PendingPrefill > 0 {
		l.post(context.Background(), startedEvent{use: use})
		use.load.PendingPrefill = 0
	}
	return use
}

// Release notes that a use is over, and how it ended.
func (l *Loop) Release(use Assignment, outcome placement.Outcome) {
	l.post(context.Background(), endEvent{use: use, outcome: outcome})
}
