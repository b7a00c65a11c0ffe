package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLostGeneration guards against a generation that is run again although its memory can be used, although an engine
// still works on it, or beyond the number of engines that the route allows.
func TestLostGeneration(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		canMove, copied bool
		maxRuns, runs   int
		forbidden       bool
		prepare         func(*Stream)
		now             time.Duration
		want            StepKind
	}{
		"broken":               {true, false, 2, 1, false, (*Stream).RecordDisconnect, 0, Rerun},
		"broken with copy":     {true, true, 2, 1, false, func(s *Stream) { s.RecordEvent(0); s.RecordDisconnect() }, 0, SwitchToCopy},
		"not begun, with copy": {true, true, 2, 1, false, (*Stream).RecordDisconnect, 0, Rerun},
		"copy is not there": {true, true, 2, 1, false, func(s *Stream) {
			s.RecordEvent(0)
			s.RecordDisconnect()
			s.Next(0)
			s.RecordSwitch(NotDone, false, 0)
		}, 0, Rerun},
		"no more engines":      {true, false, 2, 2, false, (*Stream).RecordDisconnect, 0, GiveUp},
		"forbidden":            {true, false, 2, 1, true, (*Stream).RecordDisconnect, 0, GiveUp},
		"not resumable":        {true, false, 0, 1, false, (*Stream).RecordDisconnect, 0, GiveUp},
		"still runs":           {true, false, 2, 1, false, func(s *Stream) { s.RecordEvent(0) }, 900 * ms, Wait},
		"destination has left": {true, false, 2, 1, false, func(s *Stream) { moved(s, 900*ms, 1600*ms) }, 1600 * ms, Rerun},
		"memory has moved":     {true, false, 2, 1, false, func(s *Stream) { moved(s, 1110*ms, 1200*ms) }, 1200 * ms, SwitchToMoved},
		"stopped, not moved": {true, false, 2, 1, false, func(s *Stream) {
			precopied(s)
			s.Next(1100 * ms)
			s.RecordMove(StoppedOnly, 0, 1110*ms)
			s.RecordEnd(false)
		}, 1110 * ms, Rerun},
		"ended by itself":        {true, false, 2, 1, false, func(s *Stream) { s.RecordEnd(true) }, 0, Finish},
		"move has not ended yet": {true, false, 2, 1, false, func(s *Stream) { s.RecordEvent(0); s.RecordLeaving(0); s.Next(0); s.RecordDisconnect() }, 10 * ms, Wait},
	} {
		t.Run(name, func(t *testing.T) {
			stream := New(timing, c.canMove, c.copied, 0)
			reruns := NewReruns(c.maxRuns)
			stream.UseReruns(reruns)
			for range c.runs {
				reruns.RecordRun()
			}
			if c.forbidden {
				reruns.Forbid()
			}
			c.prepare(stream)
			require.Equal(t, c.want, stream.Next(c.now).Kind)
		})
	}
}

// TestRerunsStayWithinTheirBound guards against a request that runs at more engines than its route allows, or that
// ends one engine after the other, for any order of failures.
func TestRerunsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxRuns := rapid.IntRange(0, 5).Draw(t, "max runs")
		reruns := NewReruns(maxRuns)
		reruns.RecordRun()
		runs, silent, forbidden := 1, 0, false
		for range rapid.IntRange(0, 20).Draw(t, "failures") {
			switch rapid.IntRange(0, 9).Draw(t, "failure") {
			case 0: // as it began to respond
				reruns.Forbid()
				forbidden = true
			case 1: // before that
				reruns.RecordSilentFailure()
				silent++
			}
			if !reruns.Allowed() {
				continue
			}
			require.False(t, forbidden)
			require.Less(t, silent, maxSilentFailures)
			reruns.RecordRun()
			runs++
		}
		require.LessOrEqual(t, runs, max(maxRuns, 1))
	})
}
