package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const harmReport = 300 * time.Millisecond

// learnHarm reports a fast engine and two slow ones for a time. A prompt comes to each now and then; "busy" gets twice
// as many as "calm". Every fifth prompt at a slow engine makes a stream late. It returns the time after the last report.
func learnHarm(t *Tracker, reports int) time.Duration {
	load := Load{Requests: 3}
	late := 0
	for i := range reports {
		now := time.Duration(i) * harmReport
		for _, id := range []core.TargetID{"fast", "busy", "calm"} {
			sums := Sums{Events: 30, Time: 30 * 16 * time.Millisecond, Longest: 40 * time.Millisecond, Goal: testGoal}
			if id != "fast" {
				sums.Time, sums.Longest = 30*36*time.Millisecond, 90*time.Millisecond
			}
			if prompt := i%2 == 0 && id != "calm" || i%4 == 0; prompt {
				t.RecordPrompt(testPool, id, load, promptScale, now)
				if id != "fast" {
					if late++; late%5 == 0 {
						sums.Late, sums.LateStreams, sums.Longest = 1, 1, 185*time.Millisecond
					}
				}
			}
			t.Record(testPool, id, sums, load, now)
		}
		t.Refresh(now)
	}
	return time.Duration(reports) * harmReport
}

// Guards against prompts that go where they make running streams late, although the mean pause there is far below the
// goal.
func TestPromptsAreForecastToHarmStreamsOfSlowEngines(t *testing.T) {
	tracker := NewTracker()
	learnHarm(tracker, 200)
	load, prompt := Load{Requests: 3}, Stream{Prompt: promptScale, Events: 2, Goal: testGoal}
	fast, _ := tracker.Forecast(testPool, "fast", load, prompt)
	slow, _ := tracker.Forecast(testPool, "calm", load, prompt)
	require.InDelta(t, 0.2, slow.Caused, 0.06, "one of five prompts makes one stream late")
	require.Less(t, fast.Caused, 0.03)
	more, _ := tracker.Forecast(testPool, "calm", Load{Requests: 6}, prompt)
	require.InDelta(t, 2*slow.Caused, more.Caused, 1e-9)
	half, _ := tracker.Forecast(testPool, "calm", load, Stream{Prompt: promptScale / 2, Events: 2, Goal: testGoal})
	require.InDelta(t, slow.Caused/2, half.Caused, 1e-9)
	idle, _ := tracker.Forecast(testPool, "calm", Load{}, prompt)
	require.Zero(t, idle.Caused)
}

// Guards against long streams at engines where many prompts will be read in during their life.
func TestLongStreamsAreForecastLateWherePromptsCome(t *testing.T) {
	tracker := NewTracker()
	now := learnHarm(tracker, 200)
	load, long := Load{Requests: 3}, Stream{Prompt: promptScale, Events: 190, Goal: testGoal}
	fast, _ := tracker.Forecast(testPool, "fast", load, long)
	busy, _ := tracker.Forecast(testPool, "busy", load, long)
	calm, _ := tracker.Forecast(testPool, "calm", load, long)
	require.Less(t, fast.Late, calm.Late)
	require.Less(t, calm.Late, busy.Late)
	tracker.Refresh(now + 30*time.Second)
	later, _ := tracker.Forecast(testPool, "busy", load, long)
	require.Less(t, later.Late, busy.Late, "prompts that came long ago are expected to come again")
}

// Guards against prompts at an engine that is slowed at this moment, and against an engine that is shunned once the
// moment is over.
func TestSlowedEngineIsForecastToHarmMore(t *testing.T) {
	tracker := NewTracker()
	now := learnHarm(tracker, 200)
	load := Load{Requests: 3}
	report := func(pause time.Duration) {
		tracker.Record(testPool, "calm", Sums{Events: 20, Time: 20 * pause, Longest: pause, Goal: testGoal}, load, now)
		tracker.Refresh(now)
		now += harmReport
	}
	for range 20 { // prompts that came during such moments
		for range 3 {
			report(90 * time.Millisecond)
		}
		tracker.RecordPrompt(testPool, "calm", load, promptScale, now)
		tracker.Record(testPool, "calm", Sums{Events: 20, Time: 20 * 90 * time.Millisecond, Late: 2, LateStreams: 2, Longest: 185 * time.Millisecond, Goal: testGoal}, load, now)
		for range 6 {
			report(36 * time.Millisecond)
		}
	}
	prompt := Stream{Prompt: promptScale, Events: 2, Goal: testGoal}
	usual, _ := tracker.Forecast(testPool, "calm", load, prompt)
	report(90 * time.Millisecond)
	report(90 * time.Millisecond)
	slowed, _ := tracker.Forecast(testPool, "calm", load, prompt)
	require.Greater(t, slowed.Caused, 1.5*usual.Caused)
	for range 5 {
		report(36 * time.Millisecond)
	}
	over, _ := tracker.Forecast(testPool, "calm", load, prompt)
	require.InDelta(t, usual.Caused, over.Caused, 0.1*usual.Caused)
}

// Guards against rates that other hosts' reports take out of bounds, and against a faster engine with a higher rate.
func TestHarmStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := time.Duration(0)
		ids := []core.TargetID{"a", "b", "c"}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			label := fmt.Sprint(i)
			now += time.Duration(rapid.IntRange(-50, 5000).Draw(t, label+"ms")) * time.Millisecond
			id, load := rapid.SampledFrom(ids).Draw(t, label+"engine"), drawLoad(t, label)
			switch rapid.IntRange(0, 2).Draw(t, label+"kind") {
			case 0:
				tracker.RecordPrompt(testPool, id, load, core.Tokens(rapid.IntRange(-10, 9000).Draw(t, label+"prompt")), now)
			case 1:
				tracker.Refresh(now)
			default:
				n := rapid.IntRange(-5, 50_000)
				tracker.Record(testPool, id, Sums{
					Events: n.Draw(t, label+"events"), Time: time.Duration(n.Draw(t, label+"time")) * time.Millisecond,
					Late: n.Draw(t, label+"late"), LateStreams: n.Draw(t, label+"streams"),
					Longest: time.Duration(n.Draw(t, label+"longest")) * time.Millisecond, Goal: testGoal,
				}, load, now)
			}
			for _, p := range tracker.pools {
				for j := range harmBuckets {
					require.GreaterOrEqual(t, p.harm.rates[j], 0.0)
					if j > 0 {
						require.GreaterOrEqual(t, p.harm.rates[j], p.harm.rates[j-1])
					}
				}
			}
			f, _ := tracker.Forecast(testPool, id, load, testStream())
			require.True(t, f.Late >= 0 && f.Late <= 1, "%+v", f)
			require.True(t, f.Caused >= 0 && f.Caused <= float64(max(load.Requests, 0)), "%+v", f)
		}
	})
}

// Guards against a crash when a pool without reports is forgotten while prompts are still placed at its engines.
func TestEnginesAreForgottenWithTheirPool(t *testing.T) {
	tracker := NewTracker()
	tracker.Record(testPool, "a", Sums{Events: 10, Time: time.Second, Goal: testGoal}, Load{}, 0)
	tracker.RecordPrompt(testPool, "b", Load{}, promptScale, engineTTL-time.Second)
	tracker.Refresh(engineTTL)
	require.Empty(t, tracker.engines)
	tracker.RecordPrompt(testPool, "b", Load{}, promptScale, engineTTL)
	_, known := tracker.Forecast(testPool, "b", Load{}, testStream())
	require.False(t, known)
}

// Guards against engines of which nothing was seen that count as average ones in the pool's mean and in the metrics.
func TestEnginesWithoutReportsDoNotCount(t *testing.T) {
	tracker := NewTracker()
	for i := range 20 {
		now := time.Duration(i) * harmReport
		tracker.Record(testPool, "slow", Sums{Events: 30, Time: 30 * 90 * time.Millisecond, Goal: testGoal}, Load{Requests: 1}, now)
		tracker.Record(testPool, "fast", Sums{Events: 30, Time: 30 * 30 * time.Millisecond, Goal: testGoal}, Load{Requests: 1}, now)
		tracker.Refresh(now)
	}
	alone, _ := tracker.Summary(testPool)
	now := 20 * harmReport
	tracker.RecordPrompt(testPool, "new", Load{}, promptScale, now)
	tracker.Refresh(now)
	summary, known := tracker.Summary(testPool)
	require.True(t, known)
	require.Equal(t, 2, summary.Engines)
	require.InDelta(t, alone.Mean.Base, summary.Mean.Base, 0.05*alone.Mean.Base)
}
