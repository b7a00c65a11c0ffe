package failover

import "time"

// maxSwitches bounds how often one generation goes on elsewhere.
const maxSwitches = 8

const (
	// maxMoves bounds the tries to move one generation off one engine.
	maxMoves = 12
	// movePause is the time after a move that found no room; where all engines are full, a
	// generation ends every few milliseconds.
	movePause = 100 * time.Millisecond
)

// Stream is the state of one generation that is being relayed. Only the goroutine that
// relays it uses it.
type Stream struct {
	timing   Timing
	canMove  bool
	copied   bool // another engine keeps a copy
	begun    bool // an event has arrived since the last switch
	broken   bool // the connection to the engine ended before the generation did
	leaving  bool // the engine leaves
	ahead    bool // the memory has been copied ahead of the final move
	free     bool // the last move ahead found the links free
	moved    bool // the generation was stopped and its memory moved
	open     StepKind
	since    time.Duration // notice that the engine leaves
	last     time.Duration // last event
	switches int
	moves    int
	retryAt  time.Duration // next move after one that found no room
}

// New returns a stream that has just been sent to an engine.
func New(timing Timing, canMove, copied bool, now time.Duration) *Stream {
	return &Stream{timing: timing, canMove: canMove, copied: copied, last: now}
}

// RecordEvent notes an event of the generation.
func (s *Stream) RecordEvent(now time.Duration) { s.begun, s.last = true, now }

// RecordLeaving notes that the engine leaves. Repeats change nothing.
func (s *Stream) RecordLeaving(now time.Duration) {
	if !s.leaving {
		s.leaving, s.since = true, now
	}
}

// RecordCopyLost notes that the holder of the copy leaves or is gone.
func (s *Stream) RecordCopyLost() { s.copied = false }

// Precopied reports whether the memory has been copied ahead to the engine chosen for a move.
func (s *Stream) Precopied() bool { return s.ahead }

// HasCopy reports whether a copy is believed to exist.
func (s *Stream) HasCopy() bool { return s.copied }

// RecordDisconnect notes that the connection to the engine ended before the generation did.
func (s *Stream) RecordDisconnect() { s.broken = true }

// Next returns what to do now. A step other than Wait is open until its end is noted.
func (s *Stream) Next(now time.Duration) Step {
	step := s.next(now)
	if step.Kind != Wait {
		s.open = step.Kind
	}
	return step
}

// Due returns when Next has to be asked again though nothing happens; zero means never.
func (s *Stream) Due(now time.Duration) time.Duration {
	step := s.next(now)
	if step.Kind != Wait {
		return now
	}
	return step.At
}

func (s *Stream) next(now time.Duration) Step {
	switch {
	case s.open != 0:
		return Step{Kind: Wait}
	case s.moved:
		return Step{Kind: SwitchToMoved}
	case s.switches >= maxSwitches && s.broken:
		return Step{Kind: GiveUp}
	case s.broken && s.copied:
		return Step{Kind: SwitchToCopy}
	case s.broken:
		return Step{Kind: GiveUp}
	case s.switches >= maxSwitches:
		return Step{Kind: Wait}
	case s.copied:
		return s.withCopy(now)
	case s.leaving && s.canMove && s.moves < maxMoves:
		return s.withoutCopy(now)
	default:
		return Step{Kind: Wait}
	}
}

// withCopy switches when the engine is about to leave, or silent for too long.
func (s *Stream) withCopy(now time.Duration) Step {
	var due time.Duration
	if s.leaving {
		due = s.since + s.timing.SwitchAfter
		if !s.begun {
			due = s.since + s.timing.SwitchUnstartedAfter
		}
	}
	if s.begun && s.timing.SilenceTimeout > 0 {
		silent := s.last + s.timing.SilenceTimeout
		if due == 0 || silent < due {
			due = silent
		}
	}
	if due != 0 && now >= due {
		return Step{Kind: SwitchToCopy}
	}
	return Step{Kind: Wait, At: due}
}

// withoutCopy moves a generation that has begun: ahead at once, then what is new until
// that is quick, so that the final move, for which the generation stands still, does not
// queue behind the moves of other generations.
func (s *Stream) withoutCopy(now time.Duration) Step {
	switch due := s.since + s.timing.StopAndCopyAfter; {
	case !s.begun:
		return Step{Kind: Wait}
	case !s.ahead && now < s.retryAt:
		return Step{Kind: Wait, At: s.retryAt}
	case !s.ahead && now > s.since+s.timing.PrecopyDeadline:
		return Step{Kind: Wait}
	case !s.ahead:
		return Step{Kind: PrecopyMemory}
	case now < due:
		return Step{Kind: Wait, At: due}
	case !s.free && now < s.since+s.timing.StopAndCopyDeadline:
		return Step{Kind: PrecopyMemory}
	default:
		return Step{Kind: StopAndCopyMemory}
	}
}

// RecordMove notes how MoveAhead or MoveFinal ended, and how long it took.
func (s *Stream) RecordMove(result Result, took, now time.Duration) {
	step := s.open
	s.open = 0
	switch {
	case step == PrecopyMemory && result == Done:
		s.free = s.ahead && took <= s.timing.FastPrecopy
		s.ahead = true
	case step == StopAndCopyMemory && result == Done:
		s.moved = true
	default:
		s.ahead, s.free = false, false // the next try goes to another engine
		s.moves++
		s.retryAt = now + movePause
	}
}

// RecordSwitch notes how a switch ended. copied tells whether the new engine has been asked
// to have a copy kept elsewhere.
func (s *Stream) RecordSwitch(result Result, copied bool, now time.Duration) {
	moved := s.moved
	s.open, s.moved = 0, false
	if result != Done {
		s.copied = false
		s.broken = s.broken || moved
		return
	}
	s.switches++
	s.copied, s.begun, s.broken, s.leaving, s.ahead, s.free = copied, false, false, false, false, false
	s.moves, s.retryAt, s.last = 0, 0, now
}
