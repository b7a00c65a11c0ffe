package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

// PaceMetrics records the learned pace of engines by pool. Only hosts that place streams for others have it.
type PaceMetrics struct {
	scope tally.Scope
}

// NewPaceMetrics returns a recorder whose metrics belong to the scope.
func NewPaceMetrics(scope tally.Scope) *PaceMetrics { return &PaceMetrics{scope: scope} }

// EnginePace records what is known of the engines of a pool: the time between events of an idle engine of average
// pace, the slowest and the fastest, the lowest limit of the memory, and the highest part of running streams that a prompt
// makes late.
func (m *PaceMetrics) EnginePace(pool core.PoolID, summary pace.Summary) {
	scope := m.scope.Tagged(map[string]string{"pool": string(pool)})
	for engine, factor := range map[string]float64{"average": 1, "slowest": summary.Slowest, "fastest": summary.Fastest} {
		idle := time.Duration(factor * summary.Mean.Base * float64(time.Millisecond))
		scope.Tagged(map[string]string{"engine": engine}).Gauge("engine_event_time_seconds").Update(idle.Seconds())
	}
	scope.Gauge("engine_memory_limit_ratio").Update(summary.LowestLimit)
	scope.Gauge("engine_streams_late_per_prompt_ratio").Update(summary.MostHarm)
	scope.Gauge("engines_with_pace").Update(float64(summary.Engines))
}

// PlacementAvoided counts a placement that passed over an engine for its pace.
func (m *PaceMetrics) PlacementAvoided(pool core.PoolID) {
	m.scope.Tagged(map[string]string{"pool": string(pool)}).Counter("placements_avoiding_engine_total").Inc(1)
}
