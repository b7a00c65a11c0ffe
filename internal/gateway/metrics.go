package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Metrics records the latencies and outcomes that callers see, by team and class of request.
type Metrics interface {
	// FirstToken records the time from the arrival of a request to its first event.
	FirstToken(team core.TeamID, class core.Class, d time.Duration)
	// TokenGap records the time between two events of a stream.
	TokenGap(team core.TeamID, class core.Class, d time.Duration)
	// RequestEnded records the outcome and duration of a request that was not refused.
	RequestEnded(team core.TeamID, class core.Class, outcome string, d time.Duration)
	// Resumed records the outcome of a stream's resumption by its caller or this host.
	Resumed(team core.TeamID, class core.Class, by, outcome string)
	// Refused records a refusal.
	Refused(team core.TeamID, class core.Class, kind core.RefusalKind)
}
