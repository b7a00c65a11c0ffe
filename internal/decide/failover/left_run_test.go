package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLeftRun guards against a run that an engine works on, or begins late, though the generation has gone on
// elsewhere, and against requests to stop it that never end.
func TestLeftRun(t *testing.T) {
	const (
		ms       = time.Millisecond
		due      = time.Second
		beginBy  = due + 250*ms
		deadline = due + 5*time.Second
	)
	for name, c := range map[string]struct {
		begun   bool
		results []Result
		waits   []time.Duration // after each result but the last
		want    StepKind
	}{
		"ended by itself":           {true, []Result{NoRun}, nil, Finish},
		"stopped":                   {true, []Result{Done}, nil, Finish},
		"stopped, not moved":        {false, []Result{StoppedOnly}, nil, Finish},
		"refused at first":          {true, []Result{NotDone, InProgress, Done}, []time.Duration{100 * ms, 100 * ms}, Finish},
		"refused":                   {true, []Result{NotDone, NotDone, NotDone, NotDone, NotDone}, []time.Duration{100 * ms, 100 * ms, 100 * ms, 100 * ms}, GiveUp},
		"begins late":               {false, []Result{NoRun, NoRun, Done}, []time.Duration{100 * ms, 100 * ms}, Finish},
		"does not begin":            {false, []Result{NoRun, NoRun, NoRun, NoRun}, []time.Duration{100 * ms, 100 * ms, 100 * ms}, Finish},
		"cannot be reached at once": {true, []Result{Unknown, Unknown, Unknown, Unknown, Done}, []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms}, Finish},
		"cannot be reached": {true, []Result{Unknown, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown},
			[]time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, 1600 * ms}, Finish},
		"still stopping": {true, []Result{Unknown, InProgress, InProgress, InProgress, InProgress, InProgress, NoRun},
			[]time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 1600 * ms, 1600 * ms}, Finish},
	} {
		t.Run(name, func(t *testing.T) {
			run := NewLeftRun(due, c.begun, beginBy, deadline)
			require.Equal(t, Step{Kind: Wait, At: due}, run.Next(0))
			now := due
			for i, result := range c.results {
				require.Equal(t, Step{Kind: StopLostRun}, run.Next(now))
				run.RecordRunStop(result, now)
				if i == len(c.results)-1 {
					break
				}
				require.Equal(t, Step{Kind: Wait, At: now + c.waits[i]}, run.Next(now))
				now += c.waits[i]
			}
			if step := run.Next(now); step.Kind == Wait {
				now = max(step.At, deadline)
			}
			require.Equal(t, c.want, run.Next(now).Kind)
		})
	}
}

// A run that an engine begins late, or that a host reaches late, is stopped soon, whatever the engine answered before.
func TestLeftRunIsStoppedSoon(t *testing.T) {
	const (
		deadline = 30 * time.Second
		window   = 2 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		begins := time.Duration(rapid.IntRange(0, 1900).Draw(t, "begins ms")) * time.Millisecond
		reachable := time.Duration(rapid.IntRange(0, 8000).Draw(t, "reachable ms")) * time.Millisecond
		run := NewLeftRun(0, begins == 0, window, deadline)
		var now time.Duration
		for {
			step := run.Next(now)
			require.NotContains(t, []StepKind{Finish, GiveUp}, step.Kind, "ended at %s", now)
			if step.Kind == Wait {
				now = step.At
				continue
			}
			switch {
			case now < reachable:
				run.RecordRunStop(Unknown, now)
			case now < begins:
				run.RecordRunStop(NoRun, now)
			default:
				require.LessOrEqual(t, now-max(begins, reachable), stopRetryDelay<<maxDelayDoublings)
				if reachable == 0 {
					require.LessOrEqual(t, now-begins, stopRetryDelay)
				}
				return
			}
		}
	})
}
