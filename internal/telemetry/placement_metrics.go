package telemetry

import (
	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/core"
)

// PlacementMetrics counts what this host decides as it places requests, by pool. The configuration bounds the
// number of pools. It is safe for concurrent use.
type PlacementMetrics struct {
	scope tally.Scope
}

// NewPlacementMetrics returns a recorder whose metrics belong to the scope.
func NewPlacementMetrics(scope tally.Scope) *PlacementMetrics {
	return &PlacementMetrics{scope: scope}
}

// PrefixPlaced counts the tokens of a prompt placed by its prefix, and the tokens that are expected not to be
// prefilled.
func (m *PlacementMetrics) PrefixPlaced(pool core.PoolID, prompt, expectedCached core.Tokens) {
	scope := m.scope.Tagged(map[string]string{"pool": string(pool)})
	scope.Counter("placed_prompt_tokens_total").Inc(int64(prompt))
	scope.Counter("expected_cached_tokens_total").Inc(int64(expectedCached))
}
