package rerun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

var allActions = []string{"start", "next", "next", "next", "any", "crossed", "late", "broken", "lost", "reclaim", "refused", "stalled"}

func TestEachTokenOnceInOrderFromOneText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, DefaultLimits(), true)
		for _, action := range rapid.SliceOfN(rapid.SampledFrom(allActions), 0, 60).Draw(t, "actions") {
			sim.act(action)
		}
		sim.finish()
		require.NotZero(t, sim.reason)
		require.Equal(t, sim.reason == EndFinished, sim.complete())
	})
}

// With deterministic targets and granted tickets, the caller receives the complete answer
// despite any faults within the limits.
func TestFaultsWithinLimitsStillDeliverTheWholeAnswer(t *testing.T) {
	actions := []string{"start", "next", "next", "next", "crossed", "late", "broken", "reclaim", "stalled"}
	limits := Limits{MaxResumes: 100, MaxReruns: 3}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, limits, false)
		for _, action := range rapid.SliceOfN(rapid.SampledFrom(actions), 0, 60).Draw(t, "actions") {
			sim.act(action)
		}
		for range rapid.IntRange(0, limits.MaxReruns-sim.state.reruns).Draw(t, "losses") {
			sim.act("lost")
			sim.startPending()
		}
		sim.finish()
		require.Equal(t, EndFinished, sim.reason)
		require.Len(t, sim.got, int(sim.length))
	})
}

func TestResumedStreamHoldsBackARerun(t *testing.T) {
	digest := ExtendDigest(ExtendDigest(0, 1000), 2000)
	for name, second := range map[string]struct {
		digest uint64
		final  int // index of the last token
		reason EndReason
	}{"same text": {2000, 2, EndFinished}, "other text": {2001, 2, EndDiverged}, "shorter text": {2000, 1, EndDiverged}} {
		t.Run(name, func(t *testing.T) {
			g, other := core.GenerationID{1}, core.GenerationID{2}
			s, effect := NewResumed(DefaultLimits(), g, 2, digest)
			require.Equal(t, Effect{Kind: EffectResume, Connection: 1, Generation: g, After: 2}, effect)
			s, effects := s.Step(Event{Kind: EventGenerationLost, Connection: 1}, time.Time{}, nil)
			require.Equal(t, EffectRerun, effects[0].Kind)
			s, _ = s.Step(Event{Kind: EventStarted, Connection: 2, Generation: other}, time.Time{}, nil)
			for n, d := range []uint64{1000, second.digest, 3000} {
				s, effects = s.Step(Event{Kind: EventFrame, Connection: 2, Generation: other, Sequence: core.Sequence(n + 1), Digest: d, Final: n == second.final}, time.Time{}, nil)
				if s.Ended() {
					break
				}
				require.Empty(t, effects)
			}
			require.Equal(t, second.reason, effects[len(effects)-1].Reason)
		})
	}
}

func TestRerunsAreBounded(t *testing.T) {
	s := New(DefaultLimits())
	var effects []Effect
	for id := range ConnectionID(DefaultLimits().MaxReruns) {
		s, effects = s.Step(Event{Kind: EventGenerationLost, Connection: id + 1}, time.Time{}, nil)
		require.Equal(t, []Effect{{Kind: EffectRerun, Connection: id + 2}}, effects)
	}
	_, effects = s.Step(Event{Kind: EventGenerationLost, Connection: s.lastConnection, MayHaveReached: true}, time.Time{}, nil)
	require.Equal(t, []Effect{{Kind: EffectEnd, Reason: EndFailed, MayHaveRun: true}}, effects)
}

func TestSilentTargetIsResumedThenRerun(t *testing.T) {
	g := core.GenerationID{1}
	stalled := Event{Kind: EventStalled}
	s, effects := New(DefaultLimits()).Step(stalled, time.Time{}, nil)
	require.Empty(t, effects, "the generation still waits for its ticket")
	s, _ = s.Step(Event{Kind: EventStarted, Connection: 1, Generation: g}, time.Time{}, nil)
	s, effects = s.Step(stalled, time.Time{}, nil)
	require.Equal(t, []Effect{{Kind: EffectResume, Connection: 2, Generation: g}}, effects)
	s, effects = s.Step(stalled, time.Time{}, nil)
	require.Equal(t, []EffectKind{EffectResume, EffectRerun}, []EffectKind{effects[0].Kind, effects[1].Kind})
	s, effects = s.Step(stalled, time.Time{}, nil)
	require.Len(t, effects, 1, "only one rerun at a time")
	s, effects = s.Step(Event{Kind: EventFrame, Connection: effects[0].Connection, Generation: g, Sequence: 1}, time.Time{}, nil)
	require.Equal(t, []Effect{{Kind: EffectDeliver}, {Kind: EffectStop, Connection: 4}}, effects, "the silent target resumes delivery")
	_, effects = s.Step(stalled, time.Time{}, nil)
	require.Len(t, effects, 1)
}

// A stream whose target is about to stop continues until its rerun has reproduced every
// delivered token.
func TestReclaimedTargetDeliversUntilTheRerunHasCaughtUp(t *testing.T) {
	g, other := core.GenerationID{1}, core.GenerationID{2}
	frame := func(id ConnectionID, g core.GenerationID, n core.Sequence) Event {
		return Event{Kind: EventFrame, Connection: id, Generation: g, Sequence: n, Digest: uint64(n)}
	}
	deliver := []Effect{{Kind: EffectDeliver}}
	s := New(DefaultLimits())
	for _, step := range []struct {
		event   Event
		effects []Effect
	}{
		{Event{Kind: EventStarted, Connection: 1, Generation: g}, nil},
		{frame(1, g, 1), deliver},
		{Event{Kind: EventReclaim, Generation: g}, []Effect{{Kind: EffectRerun, Connection: 2}}},
		{Event{Kind: EventStarted, Connection: 2, Generation: other}, nil},
		{frame(1, g, 2), deliver},
		{frame(2, other, 1), nil},
		{frame(2, other, 2), []Effect{{Kind: EffectStop, Connection: 1, Generation: g}}},
		{frame(1, g, 3), nil},
		{frame(2, other, 3), deliver},
	} {
		var effects []Effect
		s, effects = s.Step(step.event, time.Time{}, nil)
		require.Equal(t, step.effects, effects)
	}
}
