package callerapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// Metrics records measurements of callers' requests.
type Metrics interface {
	relay.Metrics
	// Refused counts one refused or failed request.
	Refused(team core.TeamID, class core.Class, kind core.RefusalKind)
}
