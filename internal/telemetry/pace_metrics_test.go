package telemetry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/pace"
)

// Metrics whose names or labels are refused by the registry would be missing when an operator needs them.
func TestPaceIsServedByPool(t *testing.T) {
	registry := NewRegistry()
	metrics := NewPaceMetrics(registry.Scope)
	metrics.EnginePace("llm", pace.Summary{Engines: 4, Mean: pace.Curve{Base: 30}, Slowest: 2, Fastest: 0.5, LowestLimit: 0.8, MostHarm: 0.05})
	metrics.PlacementAvoided("llm")
	metrics.PlacementAvoided("llm")
	require.NoError(t, registry.Close())
	text := exposition(t, registry)
	for _, line := range []string{
		`siskintide_engine_event_time_seconds{engine="average",pool="llm"} 0.03`,
		`siskintide_engine_event_time_seconds{engine="slowest",pool="llm"} 0.06`,
		`siskintide_engine_event_time_seconds{engine="fastest",pool="llm"} 0.015`,
		`siskintide_engine_memory_limit_ratio{pool="llm"} 0.8`,
		`siskintide_engine_streams_late_per_prompt_ratio{pool="llm"} 0.05`,
		`siskintide_engines_with_pace{pool="llm"} 4`,
		`siskintide_placements_avoiding_engine_total{pool="llm"} 2`,
	} {
		require.Contains(t, text, line)
	}
}
