package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

const paceGoal = 180 * time.Millisecond

// If each event were passed on, weak hosts would spend more on that than on the relay.
func TestStreamPaceIsPassedOnNowAndThen(t *testing.T) {
	p := streamPace{goal: paceGoal}
	passed := 0
	for i := range 100 {
		now := time.Second + time.Duration(i)*40*time.Millisecond
		if p.event("e", now, now) {
			passed++
			p.take(now)
		}
	}
	require.InDelta(t, 100*40/float64(paceFlushInterval.Milliseconds()), passed, 3)
	require.True(t, p.event("e", 6*time.Second, 6*time.Second), "a late pause waits for the next report")
}

// A silent engine sends no event after which its pause could be recorded.
func TestStreamPaceRecordsPauseUnderWay(t *testing.T) {
	p := streamPace{goal: paceGoal}
	require.Zero(t, p.due(), "the time to the first event is not a pause")
	p.event("e", time.Second, time.Second)
	require.False(t, p.overdue(time.Second+paceGoal))
	now := p.due()
	require.True(t, p.overdue(now))
	require.Equal(t, pace.Sums{Events: 1, Time: now - time.Second, Late: 1, Longest: now - time.Second, Goal: paceGoal, LateStreams: 1}, p.take(now))
	require.False(t, p.overdue(now), "one pause is recorded again at once")
	require.Greater(t, p.due(), now)

	now = p.due()
	require.True(t, p.overdue(now))
	p.event("e", now+20*time.Millisecond, now+20*time.Millisecond)
	sums := p.take(now + 20*time.Millisecond)
	require.Equal(t, now+20*time.Millisecond-time.Second, sums.Longest, "the pause is cut at the goal, so that no preemption is noticed")
	require.Equal(t, 1, sums.Late)
	require.Zero(t, sums.LateStreams, "a stream becomes late once")
}

// A switch to another engine, and a caller that does not read, would make a fast engine look slow.
func TestStreamPaceLeavesOutWhatIsNotTheEngines(t *testing.T) {
	p := streamPace{goal: paceGoal}
	p.event("a", time.Second, time.Second)
	p.event("b", 3*time.Second, 3*time.Second)
	require.Zero(t, p.take(3*time.Second).Events, "the switch counts as a pause")
	p.event("b", 3*time.Second+30*time.Millisecond, 5*time.Second) // the caller took two seconds
	p.event("b", 5*time.Second, 5*time.Second)
	require.Equal(t, pace.Sums{Events: 1, Time: 30 * time.Millisecond, Longest: 30 * time.Millisecond, Goal: paceGoal}, p.take(5*time.Second))
	require.Zero(t, p.late)
}

// Streams of pools whose pace is not learned must cost nothing and report nothing.
func TestStreamPaceWithoutAGoalRecordsNothing(t *testing.T) {
	var p streamPace
	for i := range 10 {
		now := time.Duration(i+1) * time.Second
		require.False(t, p.event("e", now, now))
		require.False(t, p.overdue(now))
		require.Zero(t, p.due())
	}
	require.Equal(t, streamPace{}, p)
}

// However events and checks alternate, the recorded time is that between the first and the last event of an engine.
func TestStreamPaceTimesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := streamPace{goal: paceGoal}, time.Second
		p.event("e", now, now)
		var sum pace.Sums
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(paceGoal)*2).Draw(t, "passed"))
			if rapid.Bool().Draw(t, "event") {
				if p.event("e", now, now) {
					sum = sum.Plus(p.take(now))
				}
			} else if p.overdue(now) {
				sum = sum.Plus(p.take(now))
			}
		}
		p.event("e", now, now)
		sum = sum.Plus(p.take(now))
		require.Equal(t, now-time.Second, sum.Time)
		require.Equal(t, p.late, sum.Late)
		require.LessOrEqual(t, sum.Late, sum.Events)
	})
}

func BenchmarkStreamPaceEvent(b *testing.B) {
	p, now, target := streamPace{goal: paceGoal}, time.Second, core.TargetID("i-046f31b349")
	b.ReportAllocs()
	for b.Loop() {
		now += 40 * time.Millisecond
		if p.event(target, now, now) {
			p.take(now)
		}
	}
}
