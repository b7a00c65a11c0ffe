package telemetry

import "github.com/uber-go/tally/v4"

// LimitMetrics counts callers that are refused before their request is read. It is safe for concurrent use.
type LimitMetrics struct {
	scope tally.Scope
}

// NewLimitMetrics returns a recorder whose metrics belong to the scope.
func NewLimitMetrics(scope tally.Scope) *LimitMetrics { return &LimitMetrics{scope: scope} }

// CallerLimited counts a connection or request that was refused for a reason, of which there are few.
func (m *LimitMetrics) CallerLimited(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("callers_refused_total").Inc(1)
}
