package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// A bad version must not get more than its share of the requests and the slack, whatever is lost, cut off, frozen or
// started again. The bound holds at any time for every version that is only probed.
func TestExposureStaysBelowItsBoundWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fault := &simFault{part: rapid.Float64Range(0, 1).Draw(t, "part"), after: time.Duration(rapid.IntRange(0, 12).Draw(t, "after")) * time.Second}
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.Float64Range(2, 600).Draw(t, "rate"), fault)
		s.lossy = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		s.run(time.Second)
		s.start()
		s.disturb(t)
		s.run(simDuration + 2*time.Second)
		require.LessOrEqual(t, s.worstExcess, 0.0, "requests %d, exposed %d", s.requests, s.exposed)
	})
}

// outcome runs a rollout without disturbances and returns its simulation.
func outcome(seed uint64, rate float64, fault *simFault) *simulation {
	s := newSimulation(seed, 5, rate, fault)
	s.runOrder()
	return s
}

// runOrder runs from a second before the order until a second after its deadline.
func (s *simulation) runOrder() {
	s.run(time.Second)
	s.start()
	s.run(simDuration + time.Second)
}

// A version that does not differ is rolled back only with the stated errors: 1% while answers arrive, and 2% before each
// of the shift and the completion. Of 200 such versions, more than 20 are rolled back with a probability of less than 0.5%.
func TestGoodVersionCompletes(t *testing.T) {
	for _, rate := range []float64{3, 40, 300} {
		rolledBack := 0
		for seed := range uint64(200) {
			s := outcome(seed, rate, nil)
			require.True(t, s.stored.Phase.Final(), "rate %g seed %d: %+v", rate, seed, s.stored)
			if s.stored.Phase == core.RolloutRolledBack {
				rolledBack++
				t.Logf("rate %g seed %d: %s", rate, seed, s.stored.Reason)
			}
		}
		t.Logf("rate %g: rolled back %d of 200", rate, rolledBack)
		require.LessOrEqual(t, rolledBack, 20, "rate %g", rate)
	}
}

// What slows down targets of both versions must not speak against the new one, though its part of the traffic changes over
// time and its probes meet few targets. At most 5% are rolled back, the stated error of all tests together.
func TestGoodVersionCompletesBesideDisturbances(t *testing.T) {
	for name, set := range map[string]func(*simulation){
		"slow moments": func(s *simulation) { s.slowMoments = true },
		"stalls":       func(s *simulation) { s.stalls = true },
	} {
		t.Run(name, func(t *testing.T) {
			for _, rate := range []float64{20, 150} {
				rolledBack := 0
				for seed := range uint64(60) {
					s := newSimulation(seed, 5, rate, nil)
					set(s)
					s.runOrder()
					require.True(t, s.stored.Phase.Final(), "rate %g seed %d: %+v", rate, seed, s.stored)
					if s.stored.Phase == core.RolloutRolledBack {
						rolledBack++
						t.Logf("rate %g seed %d: %s", rate, seed, s.stored.Reason)
					}
				}
				t.Logf("rate %g: rolled back %d of 60", rate, rolledBack)
				require.LessOrEqual(t, rolledBack, 3, "rate %g", rate)
			}
		})
	}
}

// A fault that shows only under load is found while traffic shifts, if it is one of failures. The version must not be
// completed, and must get nothing later than the bound after its 50th bad answer.
func TestFailuresUnderLoadAreFoundInTheShift(t *testing.T) {
	for _, load := range []float64{0.2, 0.4, 0.8} {
		missed := 0
		for seed := range uint64(40) {
			s := outcome(seed, 150, &simFault{part: 0.3, load: load})
			if s.stored.Phase != core.RolloutRolledBack {
				missed++
				continue
			}
			if s.fiftiethBad > 0 {
				require.LessOrEqual(t, s.lastNew, s.fiftiethBad+simBounds.RollbackTime, "load %g seed %d", load, seed)
			}
		}
		t.Logf("load %g: missed %d of 40", load, missed)
		require.LessOrEqual(t, missed, 1, "load %g", load)
	}
}

// A bad version must be rolled back, keep the bound on its exposure, and get nothing later than the bound after its
// 50th bad answer.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, fault := range map[string]*simFault{
		"fails at once":         {part: 0.3},
		"fails later":           {part: 0.3, after: 5 * time.Second},
		"slow at once":          {part: 0.5, slowdown: 4},
		"slow later":            {part: 0.5, slowdown: 4, after: 5 * time.Second},
		"fails on a rare route": {part: 0.5, route: "r2"},
		"slow on a route":       {part: 0.6, slowdown: 5, route: "r1"},
	} {
		t.Run(name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(40) {
				s := outcome(seed, 150, fault)
				if s.stored.Phase != core.RolloutRolledBack {
					missed++
					continue
				}
				require.LessOrEqual(t, float64(s.unproven), simBounds.Share*float64(s.requests)+simBounds.Slack, "seed %d", seed)
				if s.fiftiethBad > 0 {
					require.LessOrEqual(t, s.lastNew, s.fiftiethBad+simBounds.RollbackTime, "seed %d", seed)
				}
			}
			t.Logf("missed %d of 40", missed)
			require.LessOrEqual(t, missed, 1)
		})
	}
}
