package gateway

import (
	"context"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/failover"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/edgecontrol"
)

const (
	// switchAfter is the time from the notice that an engine leaves to the switch. Engines
	// leave 1.5 s after their notice at the earliest; copies lag by up to 0.3 s.
	switchAfter = 900 * time.Millisecond
	// startWithin is the same for a generation without an event.
	startWithin = 1100 * time.Millisecond
	// aheadBy bounds the first move of a generation without a copy, moveAfter and moveBy
	// the final one: a gigabyte
	// takes 0.2 s to another engine, and an engine that leaves has some of them.
	aheadBy   = 900 * time.Millisecond
	moveAfter = 600 * time.Millisecond
	moveBy    = 1150 * time.Millisecond
	// quickMove is the time in which what is new since the last move is copied while no
	// other move is queued before it.
	quickMove = 50 * time.Millisecond
	// freeTimeout bounds the call that frees moved memory.
	freeTimeout = time.Second
	// mostAvoided bounds the engines that are not moved to again, as they had no room.
	mostAvoided = 6
	// silencePart is the part of the pause that still earns full credit after which a
	// silent engine counts as lost: the rest is left for going on elsewhere.
	silencePart = 0.75
	// commitAfter bounds the wait for the answer to a switch while the former engine still
	// works: two engines may not work on one generation for 400 ms.
	commitAfter = 300 * time.Millisecond
	// roomPart is the part of the first event's goal for which a request waits for room; the
	// prompt takes much of the rest.
	roomPart = 0.6
	// roomPause is the time between two tries; a generation ends every few milliseconds.
	roomPause = 60 * time.Millisecond
	// retryCrowded tells a caller to come back when some generations have ended; they take
	// some seconds each.
	retryCrowded = time.Second
	// copyEvents is the number of events from which a generation is worth a copy.
	copyEvents = 12
)

// streamRelay passes one stream on to its caller, from one engine after another. Only the
// caller's goroutine uses it.
type streamRelay struct {
	*job
	ctx        context.Context
	controller *http.ResponseController
	machine    *failover.Stream
	source     *source // that the caller gets events of
	next       *source // that is to take over; nil if no switch is open
	commitAt   time.Duration
	moves      chan moveResult
	moveUse    *edgecontrol.Assignment // room that is kept at the engine that the memory is moved to
	movedFrom  []core.TargetID         // engines that are not moved to: the current one, and those without room
	handle     KVHandle                // of the moved memory
	started    bool                    // the caller has the header
	firstAt    time.Duration
	lastAt     time.Duration
	worstGap   time.Duration // longest pause between two events
	worstAfter int64         // event before that pause
	lastID     int64
	hasLast    bool
	switches   int
	tried      []core.TargetID
}

// stream serves a request whose answer is a stream of events.
func (j *job) stream() {
	ctx, cancel := context.WithTimeout(j.r.Context(), j.left()-answerMargin)
	defer cancel()
	relay := &streamRelay{
		job:        j,
		ctx:        ctx,
		controller: http.NewResponseController(j.w),
		moves:      make(chan moveResult, 1),
	}
	if view := j.gateway.options.Controller.View(); view.Leaving && j.longerThan(j.gateway.options.ShutdownGrace) {
		j.refuse(notRun(core.RefusedLeaving, "the host shuts down", retrySoon))
		return
	}
	relay.run()
}

// longerThan reports whether the generation is likely to take longer than a time.
func (j *job) longerThan(limit time.Duration) bool {
	return time.Duration(j.request.Output())*usualTokenTime > limit/2
}

// usualTokenTime is the time for one token on an engine with a usual load.
const usualTokenTime = 9 * time.Millisecond

// run relays until the stream has ended one way or the other.
func (s *streamRelay) run() {
	if !s.begin() {
		return
	}
	defer func() { s.stopAll() }()
	for {
		view := s.gateway.options.Controller.View()
		if done := s.act(view); done {
			return
		}
		if done := s.wait(view); done {
			return
		}
	}
}

func (s *streamRelay) sendTo(use edgecontrol.Assignment, from *KVHandle) Attempt {
	send := Attempt{Target: use.Target.Target, Priority: s.priority(), ResumeFrom: from}
	if use.HasCopy() {
		send.CopyTo = use.Copy.Address
	}
	if from != nil && s.hasLast {
		send.LastEventID = formatID(s.lastID)
	}
	return send
}

// act carries out what the machine decides in the light of a view.
func (s *streamRelay) act(view *edgecontrol.View) bool {
	if !view.Usable(s.source.use.Target.Target) {
		s.machine.RecordLeaving(s.now())
	}
	if s.source.use.HasCopy() && !view.Usable(s.source.use.Copy.Target) {
		s.machine.RecordCopyLost()
	}
	switch s.machine.Next(s.now()).Kind {
	case failover.SwitchToCopy:
		use := s.source.use
		s.switchTo(use.Copy, KVHandle{Address: use.Copy.Address, ID: s.request.ID})
	case failover.SwitchToMoved:
		handle := s.handle
		s.handle = KVHandle{} // can be used once
		s.switchTo(s.moveUse.Target, handle)
	case failover.PrecopyMemory:
		s.move(false)
	case failover.StopAndCopyMemory:
		s.move(true)
	case failover.GiveUp:
		s.lose()
		return true
	case failover.Wait:
	}
	return false
}

// switchTo sends the request to the engine that has the generation's memory.
func (s *streamRelay) switchTo(to placement.Candidate, handle KVHandle) {
	need := s.need(nil)
	need.Prompt = 0 // the memory is there
	need.WantsCopy = s.wantsCopy()
	use, ok := s.gateway.options.Controller.Place(s.ctx, edgecontrol.PlacementRequest{Pool: s.pool, Request: need, RunningOn: to.Target, Retry: true})
	if !ok {
		s.machine.RecordSwitch(failover.NotDone, false, s.now())
		return
	}
	s.log.WithField("from", s.source.use.Target.Target).WithField("to", to.Target).
		WithField("after_event", s.lastID).WithField("silent_ms", (s.now()-s.lastAt).Milliseconds()).
		WithField("copied", handle.ID == s.request.ID).Info("stream goes on at another engine")
	s.next = s.startSource(s.ctx, use, s.sendTo(use, &handle))
	s.commitAt = s.now() + commitAfter
}

// wait blocks until something happens, and takes it in.
func (s *streamRelay) wait(view *edgecontrol.View) bool {
	var current, next chan signal
	if s.next != nil {
		next = s.next.signals
	} else {
		current = s.source.signals
	}
	timer := time.NewTimer(s.untilDue())
	defer timer.Stop()
	select {
	case told := <-current:
		return s.fromSource(told)
	case told := <-next:
		return s.fromNext(told)
	case moved := <-s.moves:
		s.keep(moved.handle)
		s.machine.RecordMove(moved.result, moved.took, s.now())
	case <-view.Changed:
	case <-timer.C:
		if s.next != nil && s.now() >= s.commitAt {
			s.source.stop()
			s.machine.RecordDisconnect()
		}
	case <-s.ctx.Done():
		s.expire()
		return true
	}
	return false
}

// untilDue returns the time until the machine, or an open switch, has to be looked at.
func (s *streamRelay) untilDue() time.Duration {
	if s.next != nil {
		if left := s.commitAt - s.now(); left > 0 {
			return left
		}
		return s.left()
	}
	if due := s.machine.Due(s.now()); due > 0 {
		return max(due-s.now(), 0)
	}
	return s.left()
}
