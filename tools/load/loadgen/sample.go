package loadgen

import (
	"errors"
	"time"
)

// sample is what one request showed.
type sample struct {
	caller     Caller
	started    time.Time
	firstToken time.Duration   // zero if there was none
	gaps       []time.Duration // between tokens
	resumed    int
	err        error // nil if the answer was whole
}

// arrived counts a token that came so long after the one before it, or after the start.
func (s *sample) arrived(after time.Duration) {
	if s.firstToken == 0 {
		s.firstToken = max(after, 1)
		return
	}
	s.gaps = append(s.gaps, after)
}

// tokens returns how many tokens came.
func (s *sample) tokens() int {
	if s.firstToken == 0 {
		return 0
	}
	return len(s.gaps) + 1
}

// stall returns the time by which token gaps exceeded the bound.
func (s *sample) stall() time.Duration {
	var stall time.Duration
	for _, gap := range s.gaps {
		stall += max(0, gap-gapBound)
	}
	return stall
}

// outcome names how the request ended.
func (s *sample) outcome() string {
	var refused *refusedError
	var wrong *wrongError
	var sequence *sequenceError
	var unfinished *unfinishedError
	switch {
	case s.err == nil:
		return "completed"
	case errors.As(s.err, &refused) && s.tokens() == 0:
		return "refused " + refused.kind + " " + refused.run
	case errors.As(s.err, &refused):
		return "ended early " + refused.kind + " " + refused.run
	case errors.As(s.err, &wrong), errors.As(s.err, &sequence):
		return "wrong"
	case errors.As(s.err, &unfinished):
		return "unfinished"
	case s.tokens() == 0:
		return "unanswered"
	default:
		return "broken"
	}
}
