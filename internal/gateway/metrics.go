package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Metrics records what callers see, for each team and class of request.
type Metrics interface {
	FirstToken(team core.TeamID, class core.Class, d time.Duration)
	TokenGap(team core.TeamID, class core.Class, d time.Duration)
	RequestEnded(team core.TeamID, class core.Class, outcome string, d time.Duration)
	Refused(team core.TeamID, class core.Class, kind core.RefusalKind)
}
