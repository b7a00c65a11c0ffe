package loadgen

import (
	"errors"
	"time"
)

// sample holds the measurements of one request.
type sample struct {
	caller     Caller
	started    time.Time
	firstToken time.Duration   // zero if no token arrived
	gaps       []time.Duration // between tokens
	resumed    int             // resumptions of the stream
	err        error           // nil if the response is complete
}

// recordToken records a token that arrived the given time after the previous token or, for
// the first token, after the start of the request. An interval of zero before the first token
// counts as 1 ns, because a zero firstToken means that no token arrived.
func (s *sample) recordToken(interval time.Duration) {
	if s.firstToken == 0 {
		s.firstToken = max(interval, 1)
		return
	}
	s.gaps = append(s.gaps, interval)
}

// tokenCount returns the number of tokens received.
func (s *sample) tokenCount() int {
	if s.firstToken == 0 {
		return 0
	}
	return len(s.gaps) + 1
}

// stall returns the sum of the excess of each token gap over the bound.
func (s *sample) stall() time.Duration {
	var stall time.Duration
	for _, gap := range s.gaps {
		stall += max(0, gap-gapBound)
	}
	return stall
}

// outcome returns the name of the outcome in the report.
func (s *sample) outcome() string {
	var refused *refusedError
	var mismatch *mismatchError
	var sequence *sequenceError
	var unfinished *unfinishedError
	switch {
	case s.err == nil:
		return "completed"
	case errors.As(s.err, &refused) && s.tokenCount() == 0:
		return "refused " + refused.errorType + " " + refused.run
	case errors.As(s.err, &refused):
		return "ended early " + refused.errorType + " " + refused.run
	case errors.As(s.err, &mismatch), errors.As(s.err, &sequence):
		return "wrong"
	case errors.As(s.err, &unfinished):
		return "unfinished"
	case s.tokenCount() == 0:
		return "unanswered"
	default:
		return "broken"
	}
}
