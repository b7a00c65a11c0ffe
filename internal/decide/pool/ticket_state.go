package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// ticketState is the owner's account of one ticket in use.
type ticketState struct {
	demand    core.TicketRequest
	target    core.TargetID
	grantedAt time.Time
	lastStart time.Time // the holder cannot start the request after this
	output    core.Tokens
	outputAt  time.Time
	context   core.Tokens // as the target's own list gave it; zero if it never did
	contextAt time.Time
	seen      bool        // the target's own list has named the stream
	charged   core.Tokens // tokens charged to the team so far
	orphaned  bool        // no close will come, or none can be relied on
	releaseAt time.Time   // when an orphan at a target that lists no streams is given up
	revoked   bool
}

// orphan marks the ticket as one that only the target can settle.
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

// limitOf returns the longest output that the request allows.
func limitOf(demand core.TicketRequest, settings Settings) core.Tokens {
	if demand.MaxTokens > 0 {
		return min(demand.MaxTokens, settings.MaxTokens)
	}
	return settings.MaxTokens
}

// keyOf returns the survival curve that describes the request.
func keyOf(demand core.TicketRequest) forecast.Key {
	return forecast.Key{Team: demand.Team, Class: demand.Class}
}
