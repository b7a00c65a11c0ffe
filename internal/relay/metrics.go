package relay

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Metrics records the latencies of streams, by team and class.
type Metrics interface {
	// QueueTime records the wait for a ticket.
	QueueTime(team core.TeamID, class core.Class, d time.Duration)
	// FirstToken records the time from the request to its first token.
	FirstToken(team core.TeamID, class core.Class, d time.Duration)
	// TokenGap records the time between two tokens delivered to the caller.
	TokenGap(team core.TeamID, class core.Class, d time.Duration)
	// StallTime records the total time by which a stream's token gaps exceed the stall
	// threshold.
	StallTime(team core.TeamID, class core.Class, d time.Duration)
}
