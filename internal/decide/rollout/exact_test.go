package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// A wrong tail would make every stated error rate wrong. The values are those of Fisher's exact test, counted by hand:
// of the 70 ways to choose 4 of 8 answers, 1 and 17 have at least 4 and 3 of the 4 bad ones.
func TestTailProbabilityOfOneTable(t *testing.T) {
	require.InDelta(t, 1.0/70, tailProbability([]comparison{{newBad: 4, newAll: 4, oldBad: 0, oldAll: 4}}), 1e-12)
	require.InDelta(t, 17.0/70, tailProbability([]comparison{{newBad: 3, newAll: 4, oldBad: 1, oldAll: 4}}), 1e-12)
	require.InDelta(t, 1.0, tailProbability([]comparison{{newBad: 0, newAll: 4, oldBad: 4, oldAll: 4}}), 1e-12)
	require.InDelta(t, 1.0, tailProbability(nil), 1e-12)
}

// Tables of several windows must be tested together as independent ones, not as one table of the sums: the sums mix
// windows in which all answers are bad with others.
func TestTailProbabilityOfStrata(t *testing.T) {
	table := comparison{newBad: 1, newAll: 2, oldBad: 0, oldAll: 2} // probability of one: 1/2
	require.InDelta(t, 1.0/4, tailProbability([]comparison{table, table}), 1e-12)
	allBad := comparison{newBad: 5, newAll: 5, oldBad: 5, oldAll: 5}
	require.InDelta(t, 1.0/4, tailProbability([]comparison{table, allBad, table}), 1e-12)
	noOld := comparison{newBad: 5, newAll: 5}
	require.InDelta(t, 1.0/4, tailProbability([]comparison{table, noOld, table}), 1e-12)
}

// Equal versions must be found different at a level no more often than the level says.
func TestTailProbabilityKeepsItsLevel(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	found, trials, level := 0, 20_000, 0.05
	for range trials {
		var tables []comparison
		for window := range 3 {
			c := comparison{newAll: 3 + window, oldAll: 20}
			part := 0.1 + 0.3*float64(window)
			for range c.newAll {
				c.newBad += boolInt(random.Float64() < part)
			}
			for range c.oldAll {
				c.oldBad += boolInt(random.Float64() < part)
			}
			tables = append(tables, c)
		}
		if tailProbability(tables) < level {
			found++
		}
	}
	require.Less(t, float64(found), 1.1*level*float64(trials))
}
