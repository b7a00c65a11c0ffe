package edgecontrol

import (
	"context"
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/shutdown"
	"siskintide.example/siskintide/internal/message"
)

const (
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 512
	// tickInterval is the interval of time-driven work; see state.tick.
	tickInterval = 100 * time.Millisecond
)

// Loop is the event loop that owns the control state. Its methods are safe for concurrent
// use.
type Loop struct {
	options      Options
	events       chan event
	view         atomic.Pointer[View]
	done         chan struct{}
	firstChanged chan struct{} // closed when Run replaces the empty first view
}

// NewLoop returns a loop with an empty view. It handles no event until Run is called.
func NewLoop(options Options) *Loop {
	l := &Loop{options: options, events: make(chan event, eventQueueSize), done: make(chan struct{})}
	l.options.post = func(e event) { l.post(context.Background(), e) }
	l.firstChanged = make(chan struct{})
	l.view.Store(&View{Changed: l.firstChanged})
	return l
}

// Run handles events until the context ends. It must be called at most once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	s := newState(&l.options)
	s.startedAt = s.now()
	s.view.VersionsUnknown = s.rollouts != nil
	changed := make(chan struct{})
	s.view.Changed = changed
	l.publish(s)
	close(l.firstChanged)
	ticker := time.NewTicker(tickInterval)
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
		if s.registryChanged {
			s.view.Targets = s.registry.Entries()
			s.registryChanged, s.changed, s.lastRegistryDigest = false, true, 0
		}
		if s.changed {
			former := changed
			changed = make(chan struct{})
			s.view.Changed, s.candidatesByPool = changed, nil
			before := l.View()
			l.publish(s)
			s.notifySubscribers(before, l.View())
			close(former)
			s.changed = false
		}
		// A response must not say that a subscriber is up to date before it has been sent the changes.
		if s.responsesDue {
			s.responsesDue = false
			s.respondAll()
		}
	}
}

func (l *Loop) publish(s *state) {
	view := s.view
	l.view.Store(&view)
}

// tick does the time-driven work: it expires entries, selects the hub and sends this host's
// load to it.
func (s *state) tick() {
	if s.registry.Expire(s.now()) {
		s.log.Info("removed targets that did not register again after the outage")
		s.registryChanged, s.lastRegistryDigest = true, 0
	}
	s.tickEra()
	s.balancer.Expire(s.now())
	s.updateHub()
	s.respondAll()
	s.tickPace()
	s.sendLoad()
	s.tickQuarantine()
	s.tickLimits()
	s.tickRollouts()
}

// View returns the latest view.
func (l *Loop) View() *View { return l.view.Load() }

// post queues an event. It returns false if the loop or the context has ended.
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

// HandleUpdate applies the result of a read of the store.
func (l *Loop) HandleUpdate(update Update) {
	l.post(context.Background(), updateEvent{Update: update})
}

// HandleRolloutWritten records the result of a write of a pool's record.
func (l *Loop) HandleRolloutWritten(write RolloutWrite, err error) {
	l.post(context.Background(), rolloutWrittenEvent{pool: write.Record.Pool, sequence: write.Record.Sequence, err: err})
}

// HandleStoreStatus records whether a call to the store that was sent at the given time has succeeded.
func (l *Loop) HandleStoreStatus(up bool, sentAt time.Duration) {
	l.post(context.Background(), storeEvent{up: up, sentAt: sentAt})
}

// HandleLink records that the link to another host came up or was lost.
func (l *Loop) HandleLink(host core.HostID, up bool) {
	l.post(context.Background(), linkEvent{host: host, up: up})
}

// HandleMessage handles a message from another host.
func (l *Loop) HandleMessage(from core.HostID, m message.Message) {
	l.post(context.Background(), messageEvent{from: from, message: m})
}

// Leave marks this host as shutting down by a schedule.
func (l *Loop) Leave(schedule *shutdown.Schedule) {
	l.post(context.Background(), leaveEvent{schedule: schedule})
}

// MarkLeaving records that a target has said itself that it leaves. It gets no new work until it has
// started again.
func (l *Loop) MarkLeaving(target core.TargetID) {
	l.post(context.Background(), markLeavingEvent{target: target})
}

// CountRequest counts one request of a caller for a pool.
func (l *Loop) CountRequest(pool core.PoolID) {
	l.post(context.Background(), countRequestEvent{pool: pool})
}

// RecordPartCrash records that an engine crashed as it began to respond to a request with the given
// prompt parts. The id is that of the request and the engine.
func (l *Loop) RecordPartCrash(parts []core.PromptPart, crash core.EngineCrash) {
	l.post(context.Background(), partCrashEvent{parts: parts, crash: crash})
}

// RecordPartSound records that a generation on the given prompt parts has begun.
func (l *Loop) RecordPartSound(parts []core.PromptPart, id uint64) {
	l.post(context.Background(), partSoundEvent{parts: parts, id: id})
}

// RecordRateLimit records whether the response to a request sent at sentAt has named a limit, in
// requests per second over all hosts; rate is nil if it has not. notRun is set if the target did not
// run the request.
func (l *Loop) RecordRateLimit(target core.TargetID, rate *float64, notRun bool, sentAt time.Duration) {
	if rate != nil || l.View().LimitedTargets[target] {
		l.post(context.Background(), rateLimitEvent{target: target, rate: rate, notRun: notRun, sentAt: sentAt})
	}
}

// RecordRest records that a target has turned a request away and asked this host to send it nothing for a
// time.
func (l *Loop) RecordRest(target core.TargetID, rest time.Duration) {
	l.post(context.Background(), restEvent{target: target, rest: rest})
}

// Place assigns a target and adds the request's load to it until Release is called. It returns
// false if no target was assigned, if the loop ended, or if the context ended before the
// request was queued.
func (l *Loop) Place(ctx context.Context, req PlacementRequest) (Assignment, bool) {
	reply := make(chan Assignment, 1)
	if !l.post(ctx, placeEvent{req: req, reply: reply}) {
		return Assignment{}, false
	}
	select {
	case assignment := <-reply:
		return assignment, assignment.Target.Target != ""
	case <-l.done:
		return Assignment{}, false
	}
}

// MarkStarted records that the target has processed the prompt of a request. It returns the
// assignment with the remaining load.
func (l *Loop) MarkStarted(assignment Assignment) Assignment {
	if assignment.load.PendingPrefill > 0 || assignment.rollout.counts() && !assignment.rollout.timed {
		l.post(context.Background(), startedEvent{assignment: assignment})
		assignment.load.PendingPrefill, assignment.rollout.timed = 0, true
	}
	return assignment
}

// MarkPaced records the mean pause between the first events of a stream. It returns the assignment without a pause.
func (l *Loop) MarkPaced(assignment Assignment, pause time.Duration) Assignment {
	if assignment.rollout.counts() && !assignment.rollout.paced {
		l.post(context.Background(), pacedEvent{ticket: assignment.rollout, pause: pause})
		assignment.rollout.paced = true
	}
	return assignment
}

// RecordPace records the times between events of a stream at an engine. It never waits: if the queue is full, the
// sums are dropped, and those of other streams say as much.
func (l *Loop) RecordPace(target core.TargetID, sums pace.Sums) {
	select {
	case l.events <- paceEvent{target: target, sums: sums}:
	default:
	}
}

// Release ends an assignment and records its outcome.
func (l *Loop) Release(assignment Assignment, outcome placement.Outcome) {
	l.post(context.Background(), releaseEvent{assignment: assignment, outcome: outcome})
}
