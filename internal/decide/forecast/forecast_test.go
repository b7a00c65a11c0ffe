package forecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func draft(team core.TeamID) Key { return Key{Team: team, Class: "draft"} }

func TestSurvivalIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewEstimator()
		for _, length := range rapid.SliceOf(rapid.Int64Range(0, 200_000)).Draw(t, "lengths") {
			estimator.Observe(draft("a"), core.Tokens(length))
		}
		s := estimator.Survival(draft("a"))
		last := s.At(0)
		require.Equal(t, 1.0, last)
		for length := 1.0; length < 300_000; length *= 1.3 {
			require.LessOrEqual(t, s.At(length), last+1e-9)
			require.GreaterOrEqual(t, s.At(length), 0.0)
			last = s.At(length)
		}
	})
}

func TestSurvivalLearnsPerTeamAndFallsBack(t *testing.T) {
	estimator := NewEstimator()
	for range 300 {
		estimator.Observe(draft("short"), 20)
		estimator.Observe(draft("long"), 2000)
	}
	require.Less(t, estimator.Survival(draft("short")).Remaining(0, 8192), core.Tokens(100))
	require.Greater(t, estimator.Survival(draft("long")).Remaining(0, 8192), core.Tokens(1500))
	unknown := estimator.Survival(draft("new")).Remaining(0, 8192)
	require.InDelta(t, 1000, float64(unknown), 400)
	reached := estimator.Survival(draft("new")).Remaining(500, 8192)
	require.Greater(t, reached, core.Tokens(1200), "an output longer than all short ones is a long one")
}

func TestEstimatorIsBounded(t *testing.T) {
	estimator := NewEstimator()
	for i := range 5000 {
		estimator.Observe(Key{Team: core.TeamID(rune(i)), Class: core.Class(rune(i))}, 10)
	}
	require.LessOrEqual(t, len(estimator.entries), maxEntries)
	require.LessOrEqual(t, len(estimator.classes), maxClasses)
}

func TestQuantileMatchesObservations(t *testing.T) {
	estimator := NewEstimator()
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		estimator.Observe(draft("a"), core.Tokens(400*math.Exp(random.NormFloat64())))
	}
	s := estimator.Survival(draft("a"))
	require.InEpsilon(t, 400, float64(s.Quantile(0, 0.5)), 0.35)
	require.InEpsilon(t, 1440, float64(s.Quantile(0, 0.9)), 0.35)
}

// TestPeakIsBelowTheSumOfFinalSizes checks streams that never reach their longest size
// together, because most of them end early.
func TestPeakIsBelowTheSumOfFinalSizes(t *testing.T) {
	estimator := NewEstimator()
	for range 500 {
		estimator.Observe(draft("a"), 100)
		estimator.Observe(draft("a"), 1000)
	}
	var p Profile
	for range 20 {
		p.Add(Stream{Survival: estimator.Survival(draft("a")), Context: 50, Limit: 1000})
	}
	require.Less(t, p.Peak(0), core.Tokens(20*650))
	require.Greater(t, p.Peak(0), core.Tokens(20*150))
	require.Greater(t, p.Peak(2), p.Peak(0))
	require.LessOrEqual(t, p.Peak(100), core.Tokens(20*1050))
}

// TestForecastCoversTheActualPeak draws lengths from one distribution and checks how often
// the actual peak exceeds the forecast.
func TestForecastCoversTheActualPeak(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	length := func() int { return 1 + int(300*math.Exp(0.9*random.NormFloat64())) }
	estimator := NewEstimator()
	for range 2000 {
		estimator.Observe(draft("a"), core.Tokens(length()))
	}
	exceeded := 0
	const trials = 500
	for range trials {
		var p Profile
		finals := make([]int, 30)
		for i := range finals {
			finals[i] = length()
			p.Add(Stream{Survival: estimator.Survival(draft("a")), Context: 400, Limit: 8192})
		}
		if actualPeak(finals, 400) > int(p.Peak(2)) {
			exceeded++
		}
	}
	require.Less(t, exceeded, trials/10)
}

func actualPeak(finals []int, prompt int) int {
	peak := 0
	for step := range 4000 {
		held := 0
		for _, final := range finals {
			if final > step {
				held += prompt + step
			}
		}
		peak = max(peak, held)
	}
	return peak
}

func TestSafetyMarginFollowsPreemptions(t *testing.T) {
	s := NewSafetyMargin()
	s.RecordPreemption()
	require.Greater(t, s.Z(), startZ)
	for range 100_000 {
		s.RecordCompletion()
	}
	require.Equal(t, minZ, s.Z())
	for range 100_000 {
		s.RecordPreemption()
	}
	require.Equal(t, maxZ, s.Z())
}
