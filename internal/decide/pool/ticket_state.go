package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// ticketState is the owner's state of one ticket in use.
type ticketState struct {
	request   core.TicketRequest
	target    core.TargetID
	grantedAt time.Time
	lastStart time.Time // the holder cannot start the request after this time
	output    core.Tokens
	outputAt  time.Time
	context   core.Tokens // as last listed by the target; zero if never listed
	contextAt time.Time
	listed    bool        // the target has listed the stream
	charged   core.Tokens // tokens charged to the team so far
	orphaned  bool        // its close may never arrive
	releaseAt time.Time   // when an orphaned ticket at a target that lists no streams is released
	revoked   bool        // a Revoke has been returned for the ticket
}

// orphan marks a ticket whose close may never arrive, so that the target's reports or, at
// a target that lists no streams, releaseAt end its use.
func (t *ticketState) orphan(releaseAt time.Time) {
	if t.orphaned {
		return
	}
	t.orphaned = true
	t.releaseAt = releaseAt
	if t.releaseAt.Before(t.lastStart) {
		t.releaseAt = t.lastStart
	}
}

// limitOf returns the longest output that the request and the pool allow.
func limitOf(request core.TicketRequest, settings Settings) core.Tokens {
	if request.MaxTokens > 0 {
		return min(request.MaxTokens, settings.MaxTokens)
	}
	return settings.MaxTokens
}

// keyOf returns the key of the request's output length estimate.
func keyOf(request core.TicketRequest) forecast.Key {
	return forecast.Key{Team: request.Team, Class: request.Class}
}
