package relay

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Metrics takes the measures of streams, by team and class.
type Metrics interface {
	// QueueTime is the wait for a ticket.
	QueueTime(team core.TeamID, class core.Class, d time.Duration)
	// FirstToken is the time from the request to its first token.
	FirstToken(team core.TeamID, class core.Class, d time.Duration)
	// TokenGap is the time between two tokens handed to the caller.
	TokenGap(team core.TeamID, class core.Class, d time.Duration)
	// StallTime is the sum of what a stream's token gaps exceed the stall threshold by.
	StallTime(team core.TeamID, class core.Class, d time.Duration)
}
