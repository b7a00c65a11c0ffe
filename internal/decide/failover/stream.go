package failover

import "time"

// maxSwitches bounds the number of engine switches of one generation.
const maxSwitches = 8

const (
	// maxMoves bounds the attempts to move one generation off one engine.
	maxMoves = 12
	// moveRetryDelay is the wait after a failed move. Even while all engines are at
	// capacity, a generation ends every few milliseconds and makes room.
	moveRetryDelay = 100 * time.Millisecond
	// budgetRetryDelay is the wait until the retry budget is asked again. It frees up over seconds.
	budgetRetryDelay = 250 * time.Millisecond
)

// Stream is the state of one relayed generation. It is used only by the goroutine that
// relays the generation.
type Stream struct {
	timing       Timing
	reruns       *Reruns // nil if the request must not be sent again
	canMove      bool
	copied       bool // another engine keeps a copy
	begun        bool // the generation has been seen to run, here or at an earlier engine
	started      bool // an event has arrived since the last switch
	disconnected bool // the connection to the engine ended before the generation did
	leaving      bool // the engine is leaving
	precopied    bool // the memory has been pre-copied to the destination
	linksFree    bool // the last pre-copy was fast, so the links are free
	stop         stopState
	memoryMoved  bool          // the generation was stopped and its memory moved
	ended        bool          // the engine's response has ended in order while its stop was pending
	endMarked    bool          // a length or a last chunk marked that end
	finished     bool          // the generation has ended by itself
	open         openRuns      // engines whose connections have ended, and which may still run the generation
	pending      StepKind      // step whose result has not been recorded; zero if none
	leavingSince time.Duration // notice that the engine is leaving
	lastEvent    time.Duration
	beginBy      time.Duration // the engine begins to run the request until then or not at all
	switches     int
	moves        int
	retryMoveAt  time.Duration // earliest next move after a failed one, or one that the retry budget does not cover

	// destinationLeavingSince is the notice that the destination of the move is leaving; zero if it is not.
	destinationLeavingSince time.Duration
}

// New returns the state of a generation that has just been sent to an engine.
func New(timing Timing, canMove, copied bool, now time.Duration) *Stream {
	return &Stream{timing: timing, canMove: canMove, copied: copied, lastEvent: now, beginBy: now + timing.BeginWindow}
}

// UseReruns sets what decides whether the request is sent again once the generation is lost.
func (s *Stream) UseReruns(reruns *Reruns) { s.reruns = reruns }

// RecordEvent records that an event of the generation has arrived.
func (s *Stream) RecordEvent(now time.Duration) { s.begun, s.started, s.lastEvent = true, true, now }

// Started reports whether the engine has been seen to run the generation.
func (s *Stream) Started() bool { return s.started }

// RecordLeaving records that the engine is leaving. Repeated calls have no effect.
func (s *Stream) RecordLeaving(now time.Duration) {
	if !s.leaving {
		s.leaving, s.leavingSince = true, now
	}
}

// RecordCopyLost records that the engine with the copy is leaving or gone.
func (s *Stream) RecordCopyLost() { s.copied = false }

// RecordDestination records that an engine has been chosen for the move.
func (s *Stream) RecordDestination() { s.destinationLeavingSince = 0 }

// RecordDestinationLeaving records that the engine chosen for the move is leaving or gone. While
// there is time for it, the next attempt chooses another one.
func (s *Stream) RecordDestinationLeaving(now time.Duration) {
	if s.destinationLeavingSince == 0 {
		s.destinationLeavingSince = now
	}
	if s.pending == 0 && s.precopied && !s.memoryMoved && now <= s.leavingSince+s.timing.PrecopyDeadline {
		s.precopied, s.linksFree = false, false
		s.moves++
	}
}

// destinationGone reports whether the destination of the move is leaving for so long that it may
// get no request any more.
func (s *Stream) destinationGone(now time.Duration) bool {
	return s.destinationLeavingSince > 0 && now-s.destinationLeavingSince > s.timing.DestinationGrace
}

// Precopied reports whether the memory has been pre-copied to the engine chosen for the move.
func (s *Stream) Precopied() bool { return s.precopied }

// HasCopy reports whether another engine has been asked to keep a copy.
func (s *Stream) HasCopy() bool { return s.copied }

// copyUsable reports whether the generation may go on from the copy. There is none of a generation that has not begun;
// the engine that would hold it could run the request a second time.
func (s *Stream) copyUsable() bool { return s.copied && s.begun }

// RecordDisconnect records that the connection to the engine ended before the generation did.
func (s *Stream) RecordDisconnect() { s.disconnected = true }

// Next returns the step to take now. A step other than Wait is pending until its result is
// recorded.
func (s *Stream) Next(now time.Duration) Step {
	step := s.next(now)
	if step.Kind != Wait {
		s.pending = step.Kind
	}
	return step
}

// Due returns when to call Next again if no event is recorded before; zero means never.
func (s *Stream) Due(now time.Duration) time.Duration {
	step := s.next(now)
	if step.Kind != Wait {
		return now
	}
	return step.At
}

func (s *Stream) next(now time.Duration) Step {
	switch {
	case s.pending != 0:
		return Step{Kind: Wait}
	case s.finished:
		return Step{Kind: Finish}
	case s.open.any() && s.goesOn():
		return s.open.next(now)
	case s.memoryMoved && s.destinationGone(now):
		return s.lost()
	case s.memoryMoved:
		return Step{Kind: SwitchToMoved}
	case s.switches >= maxSwitches && s.disconnected:
		return s.lost()
	case s.disconnected && s.copyUsable():
		return Step{Kind: SwitchToCopy}
	case s.disconnected:
		return s.lost()
	case s.switches >= maxSwitches:
		return Step{Kind: Wait}
	case s.copyUsable():
		return s.nextWithCopy(now)
	case s.copied:
		return Step{Kind: Wait}
	case s.leaving && s.canMove && s.moves < maxMoves:
		return s.nextMove(now)
	default:
		return Step{Kind: Wait}
	}
}

// goesOn reports whether the generation runs at its engine, or would go on at another one: also from the memory of a
// run that has not been seen to begin, if the engine with the copy has room for it.
func (s *Stream) goesOn() bool {
	return !s.disconnected || s.copied || s.memoryMoved || s.reruns.Allowed()
}

// lost returns the step after the generation is lost. No engine works on it any more.
func (s *Stream) lost() Step {
	if s.reruns.Allowed() {
		return Step{Kind: Rerun}
	}
	return Step{Kind: GiveUp}
}

// nextWithCopy switches when the engine is about to leave or has been silent for too long.
func (s *Stream) nextWithCopy(now time.Duration) Step {
	var due time.Duration
	if s.leaving {
		due = s.leavingSince + s.timing.SwitchAfter
		if !s.started {
			due = s.leavingSince + s.timing.SwitchUnstartedAfter
		}
	}
	if s.started && s.timing.SilenceTimeout > 0 {
		silentAt := s.lastEvent + s.timing.SilenceTimeout
		if due == 0 || silentAt < due {
			due = silentAt
		}
	}
	if due != 0 && now >= due {
		return Step{Kind: SwitchToCopy}
	}
	return Step{Kind: Wait, At: due}
}

// RecordSwitch records the result of a switch. copied reports whether the new engine has been
// asked to have a copy kept on another engine.
func (s *Stream) RecordSwitch(result Result, copied bool, now time.Duration) {
	memoryMoved := s.memoryMoved
	s.pending, s.memoryMoved = 0, false
	if result != Done {
		s.copied = false
		s.disconnected = s.disconnected || memoryMoved
		return
	}
	s.switches++
	s.open = openRuns{}
	s.copied, s.started, s.disconnected, s.leaving, s.precopied, s.linksFree = copied, false, false, false, false, false
	s.stop, s.ended = notStopped, false
	s.moves, s.retryMoveAt, s.lastEvent, s.beginBy = 0, 0, now, now+s.timing.BeginWindow
}
