package failover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var timing = Timing{SwitchAfter: 900 * time.Millisecond, SwitchUnstartedAfter: 1300 * time.Millisecond, SilenceTimeout: 140 * time.Millisecond,
	PrecopyDeadline: 800 * time.Millisecond, StopAndCopyAfter: 600 * time.Millisecond, StopAndCopyDeadline: 1100 * time.Millisecond, FastPrecopy: 50 * time.Millisecond, DestinationGrace: 600 * time.Millisecond, BeginWindow: time.Second}

func TestNextStep(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		canMove, copied bool
		prepare         func(*Stream)
		now             time.Duration
		want            Step
	}{
		"nothing happens":           {true, true, func(*Stream) {}, 0, Step{Kind: Wait}},
		"copy is not used at once":  {true, true, func(s *Stream) { s.RecordLeaving(0); s.RecordEvent(800 * ms) }, 850 * ms, Step{Wait, 900 * ms}},
		"copy is used in time":      {true, true, func(s *Stream) { s.RecordLeaving(0); s.RecordEvent(890 * ms) }, 900 * ms, Step{Kind: SwitchToCopy}},
		"no event yet":              {true, true, func(s *Stream) { s.RecordLeaving(0) }, 900 * ms, Step{Kind: Wait}},
		"no event for long":         {true, true, func(s *Stream) { s.RecordLeaving(0) }, 1300 * ms, Step{Kind: Wait}},
		"late first event":          {true, true, func(s *Stream) { s.RecordLeaving(0); s.RecordEvent(1300 * ms) }, 1300 * ms, Step{Kind: SwitchToCopy}},
		"no event since a switch":   {true, true, func(s *Stream) { switched(s); s.RecordLeaving(0) }, 900 * ms, Step{Wait, 1300 * ms}},
		"none for long":             {true, true, func(s *Stream) { switched(s); s.RecordLeaving(0) }, 1300 * ms, Step{Kind: SwitchToCopy}},
		"silent engine":             {true, true, func(s *Stream) { s.RecordEvent(0) }, 140 * ms, Step{Kind: SwitchToCopy}},
		"silent without copy":       {true, false, func(s *Stream) { s.RecordEvent(0) }, 900 * ms, Step{Kind: Wait}},
		"broken with copy":          {true, true, func(s *Stream) { s.RecordEvent(0); s.RecordDisconnect() }, 0, Step{Kind: SwitchToCopy}},
		"broken before an event":    {true, true, (*Stream).RecordDisconnect, 0, Step{Kind: GiveUp}},
		"broken after a switch":     {true, true, func(s *Stream) { switched(s); s.RecordDisconnect() }, 0, Step{Kind: SwitchToCopy}},
		"broken without copy":       {true, false, (*Stream).RecordDisconnect, 0, Step{Kind: GiveUp}},
		"broken after copy is lost": {true, true, func(s *Stream) { s.RecordCopyLost(); s.RecordDisconnect() }, 0, Step{Kind: GiveUp}},
		"moves ahead at once":       {true, false, func(s *Stream) { s.RecordEvent(0); s.RecordLeaving(0) }, 0, Step{Kind: PrecopyMemory}},
		"no move before an event":   {true, false, func(s *Stream) { s.RecordLeaving(0) }, 0, Step{Kind: Wait}},
		"engine cannot move":        {false, false, func(s *Stream) { s.RecordEvent(0); s.RecordLeaving(0) }, 0, Step{Kind: Wait}},
		"final move waits":          {true, false, precopied, 10 * ms, Step{Wait, 600 * ms}},
		"looks for free links":      {true, false, precopied, 600 * ms, Step{Kind: PrecopyMemory}},
		"links are free":            {true, false, func(s *Stream) { precopied(s); s.Next(600 * ms); s.RecordMove(Done, 10*ms, 610*ms) }, 610 * ms, Step{Kind: StopAndCopyMemory}},
		"links are busy":            {true, false, func(s *Stream) { precopied(s); s.Next(600 * ms); s.RecordMove(Done, 80*ms, 680*ms) }, 680 * ms, Step{Kind: PrecopyMemory}},
		"no more time":              {true, false, precopied, 1100 * ms, Step{Kind: StopAndCopyMemory}},
		"no room for the rest":      {true, false, func(s *Stream) { precopied(s); s.Next(600 * ms); s.RecordMove(NotDone, 0, 610*ms) }, 710 * ms, Step{Kind: PrecopyMemory}},
		"too late for a new move":   {true, false, func(s *Stream) { precopied(s); s.Next(700 * ms); s.RecordMove(NotDone, 0, 710*ms) }, 810 * ms, Step{Kind: Wait}},
		"first event is too late":   {true, false, func(s *Stream) { s.RecordLeaving(0); s.RecordEvent(810 * ms) }, 810 * ms, Step{Kind: Wait}},
		"waits for room":            {true, false, func(s *Stream) { s.RecordEvent(0); s.RecordLeaving(0); s.Next(0); s.RecordMove(NotDone, 0, 10*ms) }, 20 * ms, Step{Wait, 110 * ms}},
		"switches to the moved memory": {true, false, func(s *Stream) {
			precopied(s)
			s.Next(1100 * ms)
			s.RecordMove(Done, 10*ms, 1110*ms)
			s.RecordDisconnect()
		}, 1110 * ms, Step{Kind: SwitchToMoved}},
		"retry budget is used up":         {true, false, func(s *Stream) { precopied(s); s.Next(1100 * ms); s.RecordUncovered(1100 * ms) }, 1200 * ms, Step{Wait, 1350 * ms}},
		"retry budget may have room":      {true, false, func(s *Stream) { precopied(s); s.Next(1100 * ms); s.RecordUncovered(1100 * ms) }, 1350 * ms, Step{Kind: StopAndCopyMemory}},
		"ends without the budget":         {true, false, func(s *Stream) { precopied(s); s.Next(1100 * ms); s.RecordUncovered(1100 * ms); s.RecordEnd(false) }, 1200 * ms, Step{Kind: Finish}},
		"destination leaves too":          {true, false, func(s *Stream) { precopied(s); s.RecordDestinationLeaving(100 * ms) }, 100 * ms, Step{Kind: PrecopyMemory}},
		"destination leaves in pre-copy":  {true, false, func(s *Stream) { leavingWhilePrecopied(s); s.RecordDestinationLeaving(300 * ms) }, 300 * ms, Step{Kind: PrecopyMemory}},
		"no time for another destination": {true, false, func(s *Stream) { precopied(s); s.RecordDestinationLeaving(900 * ms) }, 1100 * ms, Step{Kind: StopAndCopyMemory}},
		"resumes at leaving destination":  {true, false, func(s *Stream) { moved(s, 1110*ms, 1200*ms) }, 1200 * ms, Step{Kind: SwitchToMoved}},
		"destination leaves for too long": {true, false, func(s *Stream) { moved(s, 900*ms, 1600*ms) }, 1600 * ms, Step{Kind: GiveUp}},
	} {
		t.Run(name, func(t *testing.T) {
			stream := New(timing, c.canMove, c.copied, 0)
			c.prepare(stream)
			require.Equal(t, c.want, stream.Next(c.now))
		})
	}
}

// switched makes the generation go on at another engine, which has not sent an event yet.
func switched(s *Stream) {
	s.RecordEvent(0)
	s.Next(timing.SilenceTimeout)
	s.RecordSwitch(Done, true, 0)
}

func precopied(s *Stream) {
	s.RecordEvent(0)
	s.RecordLeaving(0)
	s.Next(0)
	s.RecordMove(Done, 300*time.Millisecond, 0)
}

// leavingWhilePrecopied records that the destination leaves while the memory is pre-copied to it.
func leavingWhilePrecopied(s *Stream) {
	s.RecordEvent(0)
	s.RecordLeaving(0)
	s.Next(0)
	s.RecordDestinationLeaving(100 * time.Millisecond)
	s.RecordMove(Done, 300*time.Millisecond, 300*time.Millisecond)
}

// moved records that the destination leaves and that the memory has been moved to it.
func moved(s *Stream, leaving, done time.Duration) {
	precopied(s)
	s.RecordDestinationLeaving(leaving)
	s.Next(1100 * time.Millisecond)
	s.RecordMove(Done, done-1100*time.Millisecond, done)
	s.RecordDisconnect()
}

// TestEndOfStoppedGeneration guards against an engine's response that counts as a complete generation because
// it ended in order, though the engine was asked to stop the generation.
func TestEndOfStoppedGeneration(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		results []Result // of the stops that are requested one after the other
		marked  bool
		want    StepKind
	}{
		"moved":                             {[]Result{Done}, false, SwitchToMoved},
		"moved, end marked":                 {[]Result{Done}, true, SwitchToMoved},
		"ended before the stop":             {[]Result{NotDone}, false, Finish},
		"no room":                           {[]Result{StoppedOnly}, false, GiveUp},
		"no room, end marked":               {[]Result{StoppedOnly}, true, GiveUp},
		"no response":                       {[]Result{Unknown}, false, GiveUp},
		"no response, end marked":           {[]Result{Unknown}, true, Finish},
		"not known to the engine afterward": {[]Result{Unknown, NotDone}, false, GiveUp},
		"stopped for certain, then unknown": {[]Result{StoppedOnly, Unknown}, true, GiveUp},
	} {
		for _, endsFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/before the result %t", name, endsFirst), func(t *testing.T) {
				stream := New(timing, true, false, 0)
				stream.RecordEvent(0)
				stream.RecordLeaving(0)
				now := time.Duration(0)
				for i, result := range c.results {
					now = stepUntil(t, stream, StopAndCopyMemory, now)
					if endsFirst && i == len(c.results)-1 {
						require.False(t, stream.RecordEnd(c.marked))
						require.Equal(t, Step{Kind: Wait}, stream.Next(now))
					}
					stream.RecordMove(result, 10*ms, now)
				}
				if !endsFirst && !stream.memoryMoved {
					require.Equal(t, c.want == Finish, stream.RecordEnd(c.marked))
				}
				require.Equal(t, c.want, stream.Next(now).Kind)
			})
		}
	}
}

// stepUntil lets all moves succeed until a step of the given kind is due, and returns its time.
func stepUntil(t *testing.T, stream *Stream, kind StepKind, now time.Duration) time.Duration {
	t.Helper()
	for range 100 {
		step := stream.Next(now)
		switch {
		case step.Kind == kind:
			return now
		case step.Kind == Wait:
			now = max(now+time.Millisecond, step.At)
		default:
			stream.RecordMove(Done, time.Millisecond, now)
		}
	}
	require.Fail(t, "step is never due", "%v", kind)
	return now
}

// For any sequence of events, at most one step is pending at a time and a copy is used at
// most once.
func TestOneStepAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := New(timing, rapid.Bool().Draw(t, "moves"), rapid.Bool().Draw(t, "copied"), 0)
		copies := 0 // unused copies
		if stream.HasCopy() {
			copies = 1
		}
		var now time.Duration
		open := StepKind(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				stream.RecordEvent(now)
			case 1:
				stream.RecordLeaving(now)
			case 2:
				stream.RecordCopyLost()
				copies = 0
			case 3:
				stream.RecordDisconnect()
			case 4:
				stream.RecordDestinationLeaving(now)
			case 5:
				result := Result(rapid.IntRange(1, 4).Draw(t, "result"))
				switch open {
				case SwitchToCopy, SwitchToMoved:
					copied := rapid.Bool().Draw(t, "next copy")
					stream.RecordSwitch(result, copied, now)
					copies = 0
					if result == Done && copied {
						copies = 1
					}
				case PrecopyMemory, StopAndCopyMemory:
					stream.RecordMove(result, time.Duration(rapid.IntRange(0, 100).Draw(t, "took"))*time.Millisecond, now)
				}
				open = 0
			case 6:
				if stream.RecordEnd(rapid.Bool().Draw(t, "marked")) {
					return
				}
			default:
				step := stream.Next(now)
				if open != 0 {
					require.Equal(t, Wait, step.Kind, "a second step while one is pending")
					continue
				}
				if step.Kind == SwitchToCopy {
					require.Equal(t, 1, copies, "no unused copy")
				}
				if step.Kind == GiveUp || step.Kind == Finish {
					return
				}
				if step.Kind != Wait {
					open = step.Kind
				}
			}
		}
	})
}
