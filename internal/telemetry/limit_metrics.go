package telemetry

import (
	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// LimitMetrics counts clients of one listener that are refused before their request is read. It is safe for concurrent use.
type LimitMetrics struct {
	scope tally.Scope
}

// NewLimitMetrics returns a recorder for a listener whose metrics belong to the scope.
func NewLimitMetrics(scope tally.Scope, listener callerbudget.Listener) *LimitMetrics {
	return &LimitMetrics{scope: scope.Tagged(map[string]string{"listener": string(listener)})}
}

// CallerLimited counts a connection or request that was refused for a reason, of which there are few.
func (m *LimitMetrics) CallerLimited(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("callers_refused_total").Inc(1)
}
