package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func exposition(t *testing.T, r *Registry) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body, err := io.ReadAll(recorder.Result().Body)
	require.NoError(t, err)
	return string(body)
}

func TestTrafficIsServedByTeamAndClass(t *testing.T) {
	registry := NewRegistry()
	metrics := NewRequestMetrics(registry.Scope)
	metrics.TokenGap("oslo", "interactive", 30*time.Millisecond)
	metrics.FirstToken("oslo", "interactive", 200*time.Millisecond)
	metrics.Refused("oslo", "batch", core.RefusedQueueFull)
	metrics.Resumed("oslo", "stream", "host", "continued")
	require.NoError(t, registry.Close())
	text := exposition(t, registry)
	require.Contains(t, text, `siskintide_token_gap_seconds_bucket{class="interactive",team="oslo",le="0.04"} 1`)
	require.Contains(t, text, `siskintide_refusals_total{class="batch",kind="queue_full",team="oslo"} 1`)
	require.Contains(t, text, `siskintide_stream_resumptions_total{by="host",class="stream",outcome="continued",team="oslo"} 1`)
}

// Guards against counters that an operator cannot tell apart by pool.
func TestPrefixTokensAreCountedByPool(t *testing.T) {
	registry := NewRegistry()
	metrics := NewPlacementMetrics(registry.Scope)
	metrics.PrefixPlaced("llm", 2550, 350)
	metrics.PrefixPlaced("llm", 2550, 0)
	require.NoError(t, registry.Close())
	text := exposition(t, registry)
	require.Contains(t, text, `siskintide_placed_prompt_tokens_total{pool="llm"} 5100`)
	require.Contains(t, text, `siskintide_expected_cached_tokens_total{pool="llm"} 350`)
}

func TestTeamTagIsBounded(t *testing.T) {
	limiter := newTagLimiter(2)
	values := map[string]bool{}
	for i := range 10 {
		values[limiter.teamTag(core.TeamID(fmt.Sprintf("team-%d", i)))] = true
	}
	require.Len(t, values, 3)
	require.True(t, values[otherTeam])
	require.True(t, strings.HasPrefix(limiter.teamTag("team-0"), "team-"))
}
