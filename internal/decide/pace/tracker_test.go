package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const (
	testPool = core.PoolID("llm")
	testGoal = 180 * time.Millisecond
	testTick = 300 * time.Millisecond
)

// pacedEngine reports events as an engine of the given speed would have them.
type pacedEngine struct {
	id     core.TargetID
	speed  float64
	load   Load
	silent bool
}

// eventTime returns the time between two events: four steps.
func (e *pacedEngine) eventTime() time.Duration {
	ms := 4 * (7 + 0.12*float64(e.load.Requests) + 8*float64(e.load.PendingPrefill)/promptScale) / e.speed
	return time.Duration(ms * float64(time.Millisecond))
}

// play reports what engines do from one time to another.
func play(tracker *Tracker, from, to time.Duration, engines ...*pacedEngine) {
	for now := from; now < to; now += testTick {
		for i, e := range engines {
			step := int(now/time.Second) + i
			e.load.Requests = 2 + step%6
			e.load.PendingPrefill = core.Tokens(step%3) * promptScale
			events := e.load.Requests * int(testTick/e.eventTime())
			if !e.silent && events > 0 {
				tracker.Record(testPool, e.id, Sums{Events: events, Time: time.Duration(events) * e.eventTime(), Longest: e.eventTime(), Goal: testGoal}, e.load, now)
			}
		}
		tracker.Refresh(now)
	}
}

func drawLoad(t *rapid.T, label string) Load {
	return Load{
		Requests:       rapid.IntRange(0, 200).Draw(t, label+"requests"),
		PendingPrefill: core.Tokens(rapid.IntRange(0, 200_000).Draw(t, label+"pending")),
		MemoryShare:    rapid.Float64Range(0, 5).Draw(t, label+"share"),
	}
}

func testStream() Stream { return Stream{Prompt: 3000, Events: 187, Goal: testGoal} }

func forecast(t *testing.T, tracker *Tracker, id core.TargetID, load Load) Forecast {
	t.Helper()
	f, known := tracker.Forecast(testPool, id, load, testStream())
	require.True(t, known)
	return f
}

func unevenEngines() []*pacedEngine {
	return []*pacedEngine{{id: "slow", speed: 0.55}, {id: "a", speed: 1.2}, {id: "b", speed: 1.2}, {id: "c", speed: 1.2}}
}

// If the factor were learned wrongly, a slow engine would be loaded like a fast one.
func TestLearnsFactorsAndCurve(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 5*time.Second, engines...)
	slow, fast := forecast(t, tracker, "slow", Load{}), forecast(t, tracker, "a", Load{})
	require.InDelta(t, 1.2/0.55, slow.Factor/fast.Factor, 0.25)
	require.Greater(t, forecast(t, tracker, "slow", Load{Requests: 8, PendingPrefill: 6000}).Pause, slow.Pause, "a loaded engine is forecast to be as fast as an idle one")
	require.Greater(t, forecast(t, tracker, "slow", Load{Requests: 8, PendingPrefill: 6000}).Caused, 1.0)
	require.Less(t, forecast(t, tracker, "a", Load{Requests: 8}).Caused, 0.2)
}

// An engine that is slowed must be avoided before the streams that run there have ended.
func TestLearnsSlowedEngineInSeconds(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 10*time.Second, engines...)
	engines[1].speed = 0.4
	play(tracker, 10*time.Second, 14*time.Second, engines...)
	require.Greater(t, forecast(t, tracker, "a", Load{}).Factor, 1.6*forecast(t, tracker, "b", Load{}).Factor)
	engines[1].speed = 1.2
	play(tracker, 14*time.Second, 18*time.Second, engines...)
	require.InDelta(t, forecast(t, tracker, "b", Load{}).Factor, forecast(t, tracker, "a", Load{}).Factor, 0.25, "an engine that recovered is still taken for slow")
}

// Reports of a while ago must not count for or against an engine, since it may be another one by now.
func TestOldReportsAgeOut(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 10*time.Second, engines...)
	engines[0].silent = true
	play(tracker, 10*time.Second, 30*time.Second, engines...)
	require.InDelta(t, 1, forecast(t, tracker, "slow", Load{}).Factor, 0.05)
	tracker.Refresh(30*time.Second + engineTTL)
	_, known := tracker.Forecast(testPool, "a", Load{}, testStream())
	require.False(t, known, "a pool without reports has a pace")
	require.Empty(t, tracker.engines)
	require.Empty(t, tracker.pools)
}

// A restarted engine may be another machine.
func TestForgottenEngineCountsAsAverage(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 10*time.Second, engines...)
	tracker.Forget("slow")
	restarted, unknown := forecast(t, tracker, "slow", Load{}), forecast(t, tracker, "never seen", Load{})
	require.Equal(t, unknown, restarted)
	require.InDelta(t, 1, restarted.Factor, 0)
	engines[0].speed = 1.2
	play(tracker, 10*time.Second, 12*time.Second, engines...)
	require.InDelta(t, forecast(t, tracker, "a", Load{}).Factor, forecast(t, tracker, "slow", Load{}).Factor, 0.2)
}

// An engine that sends no events is known by the pauses that relays report while they last.
func TestSilentEngineIsInTrouble(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 10*time.Second, engines...)
	engines[1].silent = true
	for now := 10 * time.Second; now < 12*time.Second; now += testTick {
		play(tracker, now, now+testTick, engines...)
		late := max(engines[1].load.Requests*int(testTick)/int(testGoal), 1) // each stream once for each goal
		engines[1].load.MemoryShare = 0.9
		lowered := tracker.Record(testPool, "a", Sums{Events: late, Time: time.Duration(late) * testGoal, Late: late, Longest: now - 10*time.Second + testTick, Goal: testGoal}, engines[1].load, now)
		require.Zero(t, lowered, "a silent engine lowers the limit of all memory")
	}
	tracker.Refresh(12 * time.Second)
	require.Greater(t, forecast(t, tracker, "a", Load{}).Trouble, 0.2)
	require.Zero(t, forecast(t, tracker, "b", Load{}).Trouble)
	require.Greater(t, forecast(t, tracker, "a", Load{}).Factor, 1.3*forecast(t, tracker, "b", Load{}).Factor)
}

// Without a limit an engine is filled to where it preempts again and again; a limit that never rises would keep it
// empty for good.
func TestPreemptionLowersLimitForAWhile(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 5*time.Second, engines...)
	load := Load{Requests: 7, MemoryShare: 0.9}
	preemption := Sums{Events: 4, Time: time.Second, Late: 1, Longest: 700 * time.Millisecond, Goal: testGoal}
	inTime := Sums{Events: 20, Time: 600 * time.Millisecond, Longest: 40 * time.Millisecond, Goal: testGoal}
	require.Zero(t, tracker.Record(testPool, "a", preemption, load, 5*time.Second))
	require.Zero(t, tracker.Record(testPool, "a", inTime, load, 5*time.Second+confirmAfter/2), "events before the pause count as after it")
	require.Positive(t, tracker.Record(testPool, "a", inTime, load, 5*time.Second+confirmAfter))
	require.Zero(t, tracker.Record(testPool, "a", inTime, load, 5*time.Second+2*confirmAfter), "one preemption lowers the limit twice")
	tracker.Refresh(6 * time.Second)
	require.InDelta(t, 0.8, forecast(t, tracker, "a", Load{}).MemoryLimit, 0.01)
	require.InDelta(t, 0.9, forecast(t, tracker, "b", Load{}).MemoryLimit, 0.01)
	play(tracker, 6*time.Second, 180*time.Second, engines...)
	require.InDelta(t, noLimit, forecast(t, tracker, "a", Load{}).MemoryLimit, 0.001)

	load.MemoryShare = minLimit / 2
	require.Zero(t, tracker.Record(testPool, "b", preemption, load, 200*time.Second))
	require.Zero(t, tracker.Record(testPool, "b", inTime, load, 201*time.Second), "a pause at an empty engine counts as a preemption")
}

// Hosts that hold events up make pauses late which the mean does not show; long streams then must not go to slow engines.
func TestLearnsHowFarPausesExceedTheMean(t *testing.T) {
	tracker, engines := NewTracker(), unevenEngines()
	play(tracker, 0, 5*time.Second, engines...)
	require.Less(t, forecast(t, tracker, "slow", Load{Requests: 5}).Late, 0.1)
	for now := 5 * time.Second; now < 15*time.Second; now += testTick {
		play(tracker, now, now+testTick, engines...)
		events, late := 100, 0
		if engines[0].eventTime() > 100*time.Millisecond { // hosts hold events up by 80 ms at times
			late = 3
		}
		tracker.Record(testPool, "slow", Sums{Events: events, Time: time.Duration(events) * engines[0].eventTime(), Late: late, Longest: 200 * time.Millisecond, Goal: testGoal}, engines[0].load, now)
	}
	tracker.Refresh(15 * time.Second)
	slow, fast := forecast(t, tracker, "slow", Load{Requests: 5}), forecast(t, tracker, "a", Load{Requests: 5})
	require.Greater(t, slow.Late, 0.5)
	require.Less(t, fast.Late, slow.Late/2)
	short, _ := tracker.Forecast(testPool, "slow", Load{Requests: 5}, Stream{Prompt: 3000, Events: 8, Goal: testGoal})
	require.Less(t, short.Late, slow.Late/2, "a short stream is forecast to be late like a long one")
}

func drawSums(t *rapid.T, label string) Sums {
	number := func(name string) int64 { return rapid.Int64Range(-1<<40, 1<<40).Draw(t, label+name) }
	return Sums{Events: int(number("events")), Time: time.Duration(number("time")), Late: int(number("late")), Longest: time.Duration(number("longest")), Goal: time.Duration(number("goal"))}
}

// The order in which hosts report must not matter, nor how their sums are grouped.
func TestMergeIsCommutativeAndAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) Sums {
			s := drawSums(t, label)
			s.Goal = max(s.Goal, 0)
			return s
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		require.Equal(t, a.Plus(b), b.Plus(a))
		require.Equal(t, a.Plus(b).Plus(c), a.Plus(b.Plus(c)))
		require.Equal(t, a.Plus(Sums{Longest: min(a.Longest, 0)}), a)
	})
}

// A host that reports nonsense, or loads and times in any order, must not bring forecasts out of their bounds.
func TestForecastsStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(), time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			label := fmt.Sprint(i)
			now += time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, label+"passed"))
			id := core.TargetID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, label+"engine"))
			sums := drawSums(t, label)
			if rapid.Bool().Draw(t, label+"plausible") {
				sums = Sums{Events: rapid.IntRange(0, 500).Draw(t, label+"n"), Time: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, label+"t")), Longest: time.Second, Late: 1, Goal: testGoal}
			}
			tracker.Record(testPool, id, sums, drawLoad(t, label), now)
			if rapid.Bool().Draw(t, label+"refresh") {
				tracker.Refresh(now)
			}
			f, known := tracker.Forecast(testPool, id, drawLoad(t, label+"at"), testStream())
			if !known {
				continue
			}
			for name, value := range map[string]float64{"pause": f.Pause, "factor": f.Factor, "late": f.Late, "caused": f.Caused, "trouble": f.Trouble, "limit": f.MemoryLimit} {
				require.False(t, math.IsNaN(value) || math.IsInf(value, 0) || value < 0, "%s is %v", name, value)
			}
			require.LessOrEqual(t, f.Late, 1.0)
			require.LessOrEqual(t, f.Trouble, 1.0)
			require.True(t, f.Factor >= minFactor && f.Factor <= maxFactor)
			require.True(t, f.MemoryLimit >= minLimit && f.MemoryLimit <= noLimit)
		}
	})
}

// More load must never be forecast to make pauses shorter, or an engine would be filled the more it is loaded.
func TestForecastsRiseWithLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		for i := range rapid.IntRange(5, 40).Draw(t, "reports") {
			label, now := fmt.Sprint(i), time.Duration(i)*testTick
			events := rapid.IntRange(1, 100).Draw(t, label+"events")
			mean := time.Duration(rapid.Int64Range(int64(5*time.Millisecond), int64(400*time.Millisecond)).Draw(t, label+"mean"))
			load := Load{Requests: rapid.IntRange(0, 24).Draw(t, label+"requests"), PendingPrefill: core.Tokens(rapid.IntRange(0, 12_000).Draw(t, label+"pending"))}
			tracker.Record(testPool, "a", Sums{Events: events, Time: time.Duration(events) * mean, Late: rapid.IntRange(0, events).Draw(t, label+"late"), Longest: mean, Goal: testGoal}, load, now)
			tracker.Refresh(now)
		}
		load := Load{Requests: rapid.IntRange(0, 20).Draw(t, "requests"), PendingPrefill: core.Tokens(rapid.IntRange(0, 9_000).Draw(t, "pending"))}
		more := Load{Requests: load.Requests + rapid.IntRange(0, 4).Draw(t, "more"), PendingPrefill: load.PendingPrefill + core.Tokens(rapid.IntRange(0, 3_000).Draw(t, "more pending"))}
		f, known := tracker.Forecast(testPool, "a", load, testStream())
		g, _ := tracker.Forecast(testPool, "a", more, testStream())
		if known {
			require.LessOrEqual(t, f.Pause, g.Pause+1e-9)
			require.LessOrEqual(t, f.Late, g.Late+1e-9)
		}
	})
}
