package relay

import (
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
)

// attempt is one generation at one target. The session's goroutine owns it; only the
// output counter is read by others.
type attempt struct {
	generation  core.GenerationID
	target      core.TargetID
	address     string
	incarnation core.Incarnation
	grant       controlapi.Grant
	ticketed    bool // false for a stream resumed from another host's ticket
	settled     bool // the ticket has been closed, or its close is under way
	output      atomic.Int64
	sentAt      time.Time
	lastAt      time.Time
	firstMS     int64
	worstMS     int64
}

// newAttempt returns the attempt of a ticket that is about to be used.
func newAttempt(grant controlapi.Grant, now time.Time) *attempt {
	return &attempt{
		generation:  grant.Ticket.Generation,
		target:      grant.Ticket.Target,
		address:     grant.Ticket.Address,
		incarnation: grant.Ticket.Incarnation,
		grant:       grant,
		ticketed:    true,
		sentAt:      now,
	}
}

// resumedAttempt returns the attempt of a stream that another connection had started.
func resumedAttempt(position ResumePoint) *attempt {
	a := &attempt{
		generation:  position.Generation,
		target:      position.Target,
		address:     position.Address,
		incarnation: position.Incarnation,
	}
	a.output.Store(int64(position.Sequence))
	return a
}

// took counts a new token and reports whether it was the first under this ticket.
func (a *attempt) took(sequence core.Sequence, now time.Time) bool {
	a.output.Store(int64(sequence))
	first := a.lastAt.IsZero()
	if first {
		a.firstMS = now.Sub(a.sentAt).Milliseconds()
	} else {
		a.worstMS = max(a.worstMS, now.Sub(a.lastAt).Milliseconds())
	}
	a.lastAt = now
	return first && a.ticketed
}

// outcome returns the account of the ticket's use.
func (a *attempt) outcome(result core.Result) core.Outcome {
	return core.Outcome{
		Generation:      a.generation,
		Target:          a.target,
		Result:          result,
		Output:          core.Tokens(a.output.Load()),
		FirstTokenMS:    a.firstMS,
		WorstTokenGapMS: a.worstMS,
	}
}
