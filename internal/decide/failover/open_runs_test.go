package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// loseConnection records the end of the connection to an engine that may still run the generation.
func loseConnection(s *Stream) {
	s.RecordDisconnect()
	s.RecordOpenRun()
}

// TestLostRunIsStoppedFirst guards against a generation that goes on at another engine, while its former engine,
// whose connection has ended, still runs it.
func TestLostRunIsStoppedFirst(t *testing.T) {
	begun := func(s *Stream) { s.RecordEvent(0) }
	notBegun := func(*Stream) {}
	for name, c := range map[string]struct {
		canMove, copied, resumable bool
		prepare                    func(*Stream)
		results                    []Result // of the requests to stop the run
		want                       StepKind
	}{
		"moved to the copy":            {true, true, false, begun, []Result{Done}, SwitchToCopy},
		"not running":                  {true, true, false, begun, []Result{StoppedOnly}, SwitchToCopy},
		"not running, resumable":       {true, false, true, begun, []Result{StoppedOnly}, Rerun},
		"not begun, resumable":         {true, false, true, notBegun, []Result{NoRun}, Rerun},
		"not begun":                    {true, true, false, notBegun, slices.Repeat([]Result{NoRun}, 11), GiveUp},
		"begins late":                  {true, true, false, notBegun, []Result{NoRun, NoRun, NoRun, Done}, SwitchToCopy},
		"not begun, nowhere to go on":  {true, false, false, notBegun, nil, GiveUp},
		"not begun, no answer":         {true, true, false, notBegun, []Result{Unknown, Unknown, Unknown}, GiveUp},
		"moved, resumable":             {true, false, true, begun, []Result{Done}, SwitchToMoved},
		"nowhere to go on":             {true, false, false, begun, nil, GiveUp},
		"no answer, then stopped":      {true, true, false, begun, []Result{Unknown, Unknown, StoppedOnly}, SwitchToCopy},
		"no answer":                    {true, true, false, begun, []Result{Unknown, Unknown, Unknown}, SwitchToCopy},
		"no answer, then in progress":  {true, true, false, begun, []Result{Unknown, InProgress, InProgress}, SwitchToCopy},
		"refused":                      {true, true, false, begun, []Result{NotDone, NotDone, NotDone, NotDone, NotDone}, GiveUp},
		"refused, resumable":           {true, false, true, begun, []Result{NotDone, NotDone, NotDone, NotDone, NotDone}, GiveUp},
		"refused, then stopped":        {true, true, false, begun, []Result{NotDone, NotDone, StoppedOnly}, SwitchToCopy},
		"another move is in progress":  {true, true, false, begun, []Result{InProgress, InProgress, InProgress, InProgress, InProgress}, GiveUp},
		"engine cannot be asked":       {false, true, false, begun, []Result{NotDone, NotDone, NotDone, NotDone, NotDone}, GiveUp},
		"process has ended":            {false, true, false, begun, []Result{NotDone, StoppedOnly}, SwitchToCopy},
		"process ended, resumable":     {false, false, true, begun, []Result{StoppedOnly}, Rerun},
		"stops and refusals by turns":  {true, true, false, begun, []Result{Unknown, NotDone, Unknown, NotDone, NotDone}, GiveUp},
		"refused, then no answer left": {true, true, false, begun, []Result{NotDone, NotDone, NotDone, Unknown, Unknown}, GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			stream := New(timing, c.canMove, c.copied, 0)
			if c.resumable {
				stream.UseReruns(NewReruns(2))
			}
			c.prepare(stream)
			loseConnection(stream)
			var now time.Duration
			for _, result := range c.results {
				require.Equal(t, Step{Kind: StopLostRun}, stream.Next(now))
				require.Equal(t, Step{Kind: Wait}, stream.Next(now), "while the request is pending")
				stream.RecordRunStop(result, now)
				if step := stream.Next(now); step.Kind == Wait {
					require.Equal(t, now+stopRetryDelay, step.At)
					now = step.At
				} else {
					require.Equal(t, c.want, step.Kind)
					return
				}
			}
			require.Equal(t, c.want, stream.Next(now).Kind)
		})
	}
}

// TestFailedSwitchIsStoppedFirst guards against a generation that returns to its former engine, while the engine that
// took over and did not answer still runs it.
func TestFailedSwitchIsStoppedFirst(t *testing.T) {
	stream := New(timing, true, true, 0)
	stream.RecordEvent(0)
	require.Equal(t, SwitchToCopy, stream.Next(timing.SilenceTimeout).Kind)
	stream.RecordSwitch(Unknown, false, 0)
	stream.RecordOpenSwitch()
	require.Equal(t, StopFailedSwitch, stream.Next(0).Kind)
	loseConnection(stream) // the former engine fails too
	stream.RecordRunStop(Done, 0)
	require.Equal(t, GiveUp, stream.Next(0).Kind, "the memory of the failed switch is not used")

	stream = New(timing, true, true, 0)
	stream.RecordEvent(0)
	require.Equal(t, SwitchToCopy, stream.Next(timing.SilenceTimeout).Kind)
	stream.RecordSwitch(Unknown, false, 0)
	stream.RecordOpenSwitch()
	require.Equal(t, StopFailedSwitch, stream.Next(0).Kind)
	require.True(t, stream.RecordRunStop(NoRun, 0), "the engine may begin the run")
	require.Equal(t, Wait, stream.Next(0).Kind)

	stream = New(timing, true, true, 0)
	stream.RecordEvent(0)
	stream.Next(timing.SilenceTimeout)
	stream.RecordSwitch(Unknown, false, 0)
	stream.RecordOpenSwitch()
	for range maxRunStops {
		require.Equal(t, StopFailedSwitch, stream.Next(time.Hour).Kind)
		stream.RecordRunStop(NotDone, 0)
	}
	require.Equal(t, GiveUp, stream.Next(time.Hour).Kind, "two engines would run it")
}

// TestStopByMoveIsEnough guards against a second request to stop a generation that a move has stopped: the engine
// closes its connection before the move ends.
func TestStopByMoveIsEnough(t *testing.T) {
	for result, want := range map[Result]StepKind{Done: SwitchToMoved, StoppedOnly: Rerun, Unknown: StopLostRun, NotDone: StopLostRun} {
		stream := New(timing, true, false, 0)
		stream.UseReruns(NewReruns(2))
		stream.RecordEvent(0)
		stream.RecordLeaving(0)
		now := stepUntil(t, stream, StopAndCopyMemory, 0)
		loseConnection(stream)
		require.Equal(t, Wait, stream.Next(now).Kind)
		stream.RecordMove(result, 0, now)
		require.Equal(t, want, stream.Next(now).Kind, "result %d", result)
	}
}

// For any sequence of events, a generation goes on at another engine only if no engine whose connection has ended may
// still run it, or if that engine is asked further to stop it, and a stop is requested a limited number of times.
func TestGenerationGoesOnAfterOpenRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := New(timing, true, rapid.Bool().Draw(t, "copied"), 0)
		stream.UseReruns(NewReruns(rapid.IntRange(0, 3).Draw(t, "runs")))
		var now time.Duration
		current, failedNext := false, false // may run at these engines
		unanswered, requests := 0, 0
		stopped := false               // the current engine has stopped the generation
		seen := false                  // the generation has been seen to run
		started, begun := false, false // the current engine has been seen to run it; it had when its connection ended
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				stream.RecordEvent(now)
				started, seen = true, true
			case 1:
				stream.RecordLeaving(now)
			case 2:
				loseConnection(stream)
				current, begun = !stopped, started
			}
			step := stream.Next(now)
			result := Result(rapid.IntRange(int(Done), int(NoRun)).Draw(t, "result"))
			switch step.Kind {
			case GiveUp, Finish:
				return
			case Wait:
				continue
			case StopLostRun, StopFailedSwitch:
				require.True(t, step.Kind == StopLostRun && current || step.Kind == StopFailedSwitch && failedNext)
				lost := step.Kind == StopLostRun
				if result != NoRun {
					requests++
				}
				if result == Unknown || result == InProgress && unanswered > 0 {
					unanswered++
				}
				require.LessOrEqual(t, requests, maxRunStops)
				ended := result == Done || result == StoppedOnly || result == NoRun && lost && begun
				seen = seen || lost && result == Done
				askedFurther := stream.RecordRunStop(result, now)
				if askedFurther {
					require.True(t, !ended && (result == NoRun || unanswered == maxUnansweredStops))
				}
				switch {
				case !ended && !askedFurther:
				case lost:
					requests, unanswered = 0, 0
					current, stopped = false, stopped || result == Done && !stream.HasCopy()
				default:
					requests, unanswered, failedNext = 0, 0, false
				}
			case PrecopyMemory, StopAndCopyMemory:
				if result == InProgress || result == NoRun {
					result = NotDone
				}
				stream.RecordMove(result, 0, now)
				if step.Kind == StopAndCopyMemory && (result == Done || result == StoppedOnly) {
					current, stopped = false, true
				}
			default:
				require.False(t, current || failedNext, "goes on while another engine may run it")
				require.True(t, seen || step.Kind == Rerun, "there is no copy of a generation that has not begun")
				if step.Kind == Rerun {
					return
				}
				if result == InProgress || result == NoRun {
					result = NotDone
				}
				stream.RecordSwitch(result, rapid.Bool().Draw(t, "next copy"), now)
				switch result {
				case Done:
					stopped, started = false, false
				case Unknown:
					stream.RecordOpenSwitch()
					failedNext, stopped = true, false
				default:
					stopped = false
				}
			}
		}
	})
}

// TestOpenRunsOfGivenUpStream guards against runs that nobody stops once the generation has been given up.
func TestOpenRunsOfGivenUpStream(t *testing.T) {
	switchFailed := func(s *Stream) {
		require.Equal(t, SwitchToCopy, s.Next(timing.SilenceTimeout).Kind)
		loseConnection(s)
		s.RecordSwitch(Unknown, false, timing.SilenceTimeout)
		s.RecordOpenSwitch()
	}
	refuse := func(s *Stream) {
		loseConnection(s)
		for now := timing.SilenceTimeout; s.Next(now).Kind != GiveUp; now += stopRetryDelay {
			s.RecordRunStop(NotDone, now)
		}
	}
	for name, c := range map[string]struct {
		copied  bool
		prepare func(*Stream)
		want    []StepKind
	}{
		"connected":                        {true, func(*Stream) {}, nil},
		"connection ended":                 {false, loseConnection, []StepKind{StopLostRun}},
		"left for an engine that failed":   {true, switchFailed, []StepKind{StopFailedSwitch, StopLostRun}},
		"engine refused all stop requests": {true, refuse, nil},
	} {
		t.Run(name, func(t *testing.T) {
			stream := New(timing, true, c.copied, 0)
			stream.RecordEvent(0)
			c.prepare(stream)
			require.ElementsMatch(t, c.want, stream.OpenRuns())
			if len(c.want) > 0 {
				require.Equal(t, GiveUp, stream.Next(timing.SilenceTimeout).Kind)
			}
		})
	}
}
