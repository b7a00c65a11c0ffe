package plan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func drawIntent(t *rapid.T) Intent {
	centre := core.DataCentreID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"))
	targets := rapid.SliceOfNDistinct(rapid.SampledFrom([]core.TargetID{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "a-app", "b-app"}), 1, 6, rapid.ID[core.TargetID]).Draw(t, "targets")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return Intent{Kind: TakeOut, DataCentre: centre}
	case 1:
		return Intent{Kind: Return, DataCentre: centre}
	case 2:
		return Intent{Kind: Drain, Targets: targets}
	case 3:
		return Intent{Kind: Undrain, Targets: targets}
	}
	return Intent{Kind: BringIn, Model: "m", Version: rapid.SampledFrom([]core.ModelVersion{"1", "2"}).Draw(t, "version")}
}

// For any sequence of applied plans, every pool keeps a target, no plan that reduces
// capacity leaves more load than the warm bounds, a repeated plan changes nothing, a stale
// plan is refused, the nearest intent of a refusal can be planned, and the base is not modified.
func TestPlansKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := threeDataCentres()
		for range rapid.IntRange(1, 8).Draw(t, "plans") {
			load := loadOf(config, rapid.IntRange(0, 10).Draw(t, "streams"), core.Tokens(rapid.IntRange(0, 1000).Draw(t, "memory")))
			before := fmt.Sprint(*config)
			p, err := Compute(config, drawIntent(t), load)
			require.Equal(t, before, fmt.Sprint(*config))
			if refusal, refused := err.(*Refusal); refused {
				requireNearestPlans(t, config, refusal, load)
				continue
			}
			next, err := Apply(config, p)
			require.NoError(t, err)
			require.Equal(t, before, fmt.Sprint(*config))
			require.Equal(t, config.Revision+1, next.Revision)
			require.Equal(t, p.Steps, Difference(config, next))
			again, err := Apply(next, p)
			require.NoError(t, err)
			require.Same(t, next, again)
			_, err = Apply(next, &Plan{ID: "other", Base: config.Revision})
			stale := &StaleError{}
			require.ErrorAs(t, err, &stale)
			requireServed(t, config, next, load)
			config = next
		}
	})
}

func requireNearestPlans(t *rapid.T, config *core.Config, refusal *Refusal, load Load) {
	if refusal.Nearest != nil {
		_, err := Compute(config, *refusal.Nearest, load)
		require.NoError(t, err)
	}
}

func requireServed(t *rapid.T, before, after *core.Config, load Load) {
	catalog := core.NewCatalog(after)
	for _, pool := range poolLoads(core.NewCatalog(before), catalog, load.byTarget()) {
		require.Positive(t, pool.TargetsAfter)
		if pool.shrinks() {
			require.LessOrEqual(t, pool.Streams, pool.WarmStreamsAfter)
			require.LessOrEqual(t, pool.Memory, pool.MemoryTokensAfter)
		}
	}
}
