package relay

import (
	"sync/atomic"
	"time"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
)

// attempt is one generation at one target. The session's goroutine owns it; other
// goroutines read only the output counter.
type attempt struct {
	generation      core.GenerationID
	target          core.TargetID
	address         string
	incarnation     core.Incarnation
	grant           controlapi.Grant
	hasTicket       bool // false for a resumed stream, which runs under the ticket of an earlier connection of the caller
	ticketClosed    bool // the ticket is closed or being closed
	output          atomic.Int64
	sentAt          time.Time
	lastTokenAt     time.Time
	firstTokenMS    int64
	worstTokenGapMS int64
}

// newAttempt returns the attempt for a ticket that is about to be used.
func newAttempt(grant controlapi.Grant, now time.Time) *attempt {
	return &attempt{
		generation:  grant.Ticket.Generation,
		target:      grant.Ticket.Target,
		address:     grant.Ticket.Address,
		incarnation: grant.Ticket.Incarnation,
		grant:       grant,
		hasTicket:   true,
		sentAt:      now,
	}
}

// resumedAttempt returns the attempt for a stream that an earlier connection of the caller
// started.
func resumedAttempt(point ResumePoint) *attempt {
	a := &attempt{
		generation:  point.Generation,
		target:      point.Target,
		address:     point.Address,
		incarnation: point.Incarnation,
	}
	a.output.Store(int64(point.Sequence))
	return a
}

// recordToken records a new token and its latency, and reports whether it is the first
// under this ticket.
func (a *attempt) recordToken(sequence core.Sequence, now time.Time) bool {
	a.output.Store(int64(sequence))
	first := a.lastTokenAt.IsZero()
	if first {
		a.firstTokenMS = now.Sub(a.sentAt).Milliseconds()
	} else {
		a.worstTokenGapMS = max(a.worstTokenGapMS, now.Sub(a.lastTokenAt).Milliseconds())
	}
	a.lastTokenAt = now
	return first && a.hasTicket
}

// outcome returns the outcome with which the ticket is closed.
func (a *attempt) outcome(result core.Result) core.Outcome {
	return core.Outcome{
		Generation:      a.generation,
		Target:          a.target,
		Result:          result,
		Output:          core.Tokens(a.output.Load()),
		FirstTokenMS:    a.firstTokenMS,
		WorstTokenGapMS: a.worstTokenGapMS,
	}
}
