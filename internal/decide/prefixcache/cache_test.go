package prefixcache

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const memory = core.Tokens(26_900)

func prompt(parts ...core.PrefixPart) []core.PrefixPart { return parts }

func expected(c *Cache, id core.TargetID, parts []core.PrefixPart, running core.Tokens, now time.Duration) core.Tokens {
	query := c.Query(parts)
	if query == nil {
		return 0
	}
	return query.Expected(id, memory, running, now)
}

// Guards against tokens that count although a part before them is missing, and against parts that count at an engine
// that does not have them.
func TestOnlyTheBeginningCounts(t *testing.T) {
	c := NewCache()
	c.Record("x", prompt(core.PrefixPart{Key: 1, Tokens: 350}, core.PrefixPart{Key: 2, Tokens: 2200}), memory, 0)
	for name, want := range map[string]struct {
		parts  []core.PrefixPart
		id     core.TargetID
		tokens core.Tokens
	}{
		"whole prompt":       {prompt(core.PrefixPart{Key: 1, Tokens: 350}, core.PrefixPart{Key: 2, Tokens: 2200}), "x", 2550},
		"shared part":        {prompt(core.PrefixPart{Key: 1, Tokens: 350}, core.PrefixPart{Key: 3, Tokens: 2200}), "x", 350},
		"missing first part": {prompt(core.PrefixPart{Key: 4, Tokens: 350}, core.PrefixPart{Key: 2, Tokens: 2200}), "x", 0},
		"other engine":       {prompt(core.PrefixPart{Key: 1, Tokens: 350}), "y", 0},
		"longer than placed": {prompt(core.PrefixPart{Key: 1, Tokens: 900}), "x", 350},
		"repeated part":      {prompt(core.PrefixPart{Key: 1, Tokens: 350}, core.PrefixPart{Key: 1, Tokens: 350}), "x", 350},
		"without tokens":     {prompt(core.PrefixPart{Key: 1}), "x", 0},
		"no parts":           {nil, "x", 0},
	} {
		require.Equal(t, want.tokens, expected(c, want.id, want.parts, 0, 0), name)
	}
}

// Guards against counting parts that later placements have pushed out, and against dropping a part in constant use.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	c := NewCache()
	shared := core.PrefixPart{Key: 1, Tokens: 350}
	first := core.PrefixPart{Key: 100, Tokens: 3000}
	c.Record("x", prompt(shared, first), memory, 0)
	for i := range 9 {
		c.Record("x", prompt(shared, core.PrefixPart{Key: core.PromptPart(101 + i), Tokens: 3000}), memory, 0)
	}
	require.Equal(t, core.Tokens(350), expected(c, "x", prompt(shared, first), 0, 0))
	require.Equal(t, core.Tokens(3350), expected(c, "x", prompt(shared, core.PrefixPart{Key: 109, Tokens: 3000}), 0, 0))
}

// Guards against an estimate that stays certain while running requests take the memory, or forever.
func TestPressureAndAgeLowerTheEstimate(t *testing.T) {
	c := NewCache()
	parts := prompt(core.PrefixPart{Key: 1, Tokens: 3000})
	c.Record("x", parts, memory, 0)
	require.Equal(t, core.Tokens(3000), expected(c, "x", parts, memory-3000, 0), "fits beside all that runs")
	require.Equal(t, core.Tokens(1500), expected(c, "x", parts, memory-1500, 0), "fits if it is part of what runs")
	require.Zero(t, expected(c, "x", parts, memory+1, 0))
	require.Equal(t, core.Tokens(1500), expected(c, "x", parts, 0, maxAge/2))
	require.Zero(t, expected(c, "x", parts, 0, maxAge))
	c.Expire(maxAge - 1)
	require.NotNil(t, c.Query(parts))
	c.Expire(maxAge)
	require.Nil(t, c.Query(parts))
	require.Empty(t, c.holders)
}

// Guards against knowledge of an engine that has restarted.
func TestForget(t *testing.T) {
	c := NewCache()
	parts := prompt(core.PrefixPart{Key: 1, Tokens: 3000})
	c.Record("x", parts, memory, 0)
	c.Record("y", parts, memory, 0)
	c.Forget("x")
	c.Forget("x")
	require.Zero(t, expected(c, "x", parts, 0, 0))
	require.Equal(t, core.Tokens(3000), expected(c, "y", parts, 0, 0))
	c.Forget("y")
	require.Empty(t, c.holders)
	require.Empty(t, c.engines)
}

// Guards against an estimate above what was placed at the engine since its last restart, and against memory that
// grows with the number of placements.
func TestEstimateIsBoundedByPlacements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCache()
		placed := map[core.TargetID]map[core.PromptPart]core.Tokens{}
		now := time.Duration(0)
		drawParts := rapid.Custom(func(t *rapid.T) []core.PrefixPart {
			return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) core.PrefixPart {
				return core.PrefixPart{Key: core.PromptPart(rapid.IntRange(0, 90).Draw(t, "key")), Tokens: core.Tokens(rapid.IntRange(-1, 4000).Draw(t, "tokens"))}
			}), 0, 20).Draw(t, "parts")
		})
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := core.TargetID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "engine")))
			parts := drawParts.Draw(t, "prompt")
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				c.Forget(id)
				delete(placed, id)
			case 1:
				c.Expire(now)
			default:
				c.Record(id, parts, core.Tokens(rapid.IntRange(0, 26_900).Draw(t, "memory")), now)
				if placed[id] == nil {
					placed[id] = map[core.PromptPart]core.Tokens{}
				}
				for _, part := range parts {
					placed[id][part.Key] = max(placed[id][part.Key], part.Tokens)
				}
			}
			requireBounded(t, c)
			wanted := drawParts.Draw(t, "wanted")
			bound, prompt := core.Tokens(0), core.Tokens(0)
			seen := map[core.PromptPart]bool{}
			for _, part := range wanted {
				if part.Tokens <= 0 || placed[id][part.Key] <= 0 || seen[part.Key] {
					break
				}
				seen[part.Key] = true
				bound += min(part.Tokens, placed[id][part.Key])
				prompt += part.Tokens
			}
			running := core.Tokens(rapid.IntRange(0, 30_000).Draw(t, "running"))
			got := expected(c, id, wanted, running, now)
			require.GreaterOrEqual(t, got, core.Tokens(0))
			require.LessOrEqual(t, got, min(bound, prompt))
		}
	})
}

func requireBounded(t *rapid.T, c *Cache) {
	counted := map[core.PromptPart]int{}
	for _, e := range c.engines {
		require.LessOrEqual(t, len(e.parts), maxEngineParts)
		require.LessOrEqual(t, cap(e.parts), 4*maxEngineParts)
		sum := core.Tokens(0)
		for _, part := range e.parts {
			counted[part.key]++
			sum += part.tokens
		}
		require.LessOrEqual(t, sum, memory)
	}
	require.Equal(t, counted, c.holders, "the parts that some engine has")
}
