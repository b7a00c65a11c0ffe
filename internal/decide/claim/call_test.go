package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const lasting = 30 * time.Second

var faults = []string{"", "", "", "away", "lost", "answer lost", "refused", "unsent"}

func (w *world) disturb() {
	w.tick++
	switch rapid.SampledFrom([]string{"act", "act", "act", "act", "add", "float", "serve", "time"}).Draw(w.t, "what") {
	case "act":
		w.act(w.actors[rapid.IntRange(0, len(w.actors)-1).Draw(w.t, "actor")], rapid.SampledFrom(faults).Draw(w.t, "fault"))
	case "add":
		w.add(byte(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(w.t, "body")))
	case "float":
		if len(w.floating) > 0 {
			w.apply(w.floating[0].version, w.floating[0].record)
			w.floating = w.floating[1:]
		}
	case "serve":
		if len(w.pending) > 0 {
			w.pending = w.pending[1:]
			w.run()
		}
	case "time":
		w.now = w.now.Add(lasting)
	}
}

func TestAtMostOneRunAndTrueRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.add(1)
		w.add(1)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			w.disturb()
		}
		for _, a := range w.actors {
			if rapid.IntRange(0, 4).Draw(t, "dead") == 0 {
				continue
			}
			for steps := 0; len(a.next) > 0; steps++ {
				require.Less(t, steps, 2*(maxPlatformSteps+maxRecordSteps+maxWaits), "no end")
				w.tick++
				w.act(a, rapid.SampledFrom(faults).Draw(t, "fault"))
			}
			require.NotNil(t, a.reply, "no answer")
		}
		for len(w.pending) > 0 {
			w.pending = w.pending[1:]
			w.run()
		}
	})
}

func TestUsualCallTakesTwoWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.add(1)
		w.add(1)
		for _, a := range w.actors {
			for len(a.next) > 0 {
				w.act(a, "")
			}
		}
		require.Equal(t, EffectAnswer, w.actors[0].reply.Kind)
		require.Equal(t, 2, w.actors[0].writes)
		require.Equal(t, EffectReplay, w.actors[1].reply.Kind)
		require.Zero(t, w.actors[1].writes)
	})
}

// A call that meets another one with its key waits for its outcome, and never claims a row
// that has become void meanwhile.
func TestWaitsForTheOutcomeOfAnotherCall(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	running := Event{Kind: EventRead, Version: 1, Record: Record{State: core.ClaimSent, Attempt: core.GenerationID{9}, ExpiresAt: now.Add(lasting)}}
	answered, void := running, running
	answered.Record.State, void.Record.State = core.ClaimAnswered, core.ClaimVoid
	first, _ := New("h", core.GenerationID{1}, [16]byte{}, lasting)
	call, effects := first.Step(running, now)
	require.Equal(t, []Effect{{Kind: EffectRead, Wait: firstWait}}, effects)
	_, effects = call.Step(answered, now)
	require.Equal(t, EffectReplay, effects[0].Kind)
	_, effects = call.Step(void, now)
	require.Equal(t, core.ClaimVoid, effects[0].Record.State)
	for range maxWaits {
		call, effects = call.Step(running, now)
	}
	require.Equal(t, core.RefusedInProgress, effects[0].Refusal.Kind)
	require.Equal(t, core.RunUnknown, effects[0].Refusal.Run)
}

// A repeat of a call with unknown outcome must not be told "not run" while the platform is away.
func TestPlatformAwayIsNotNotRun(t *testing.T) {
	call, _ := New("h", core.GenerationID{1}, [16]byte{}, lasting)
	_, effects := call.Step(Event{Kind: EventReadFailed}, time.Time{})
	require.Equal(t, core.RefusedPlatformUnavailable, effects[0].Refusal.Kind)
	require.Equal(t, core.RunUnknown, effects[0].Refusal.Run)
}

// A row that was only claimed is made void by compare-and-swap before anybody hears "not run".
func TestTakeoverOfADeadClaimant(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for state, want := range map[core.ClaimState]core.RunState{core.ClaimClaimed: core.NotRun, core.ClaimSent: core.RunUnknown} {
		call, _ := New("h", core.GenerationID{1}, [16]byte{}, lasting)
		old := Record{State: state, Attempt: core.GenerationID{9}, ExpiresAt: now}
		call, effects := call.Step(Event{Kind: EventRead, Version: 3, Record: old}, now)
		require.Equal(t, EffectWrite, effects[0].Kind)
		require.Equal(t, uint64(3), effects[0].Version)
		_, effects = call.Step(Event{Kind: EventCommitted}, now)
		require.Equal(t, want, effects[0].Refusal.Run)
		_, effects = call.Step(Event{Kind: EventConflict}, now)
		require.Equal(t, core.RunUnknown, effects[0].Refusal.Run)
	}
}

// A platform that goes away during the call for good does not keep the caller waiting.
func TestPlatformThatStaysAwayEndsTheCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.add(1)
		a := w.actors[0]
		for _, fault := range []string{"", "", rapid.SampledFrom([]string{"lost", "answer lost", "away"}).Draw(t, "fault")} {
			w.act(a, fault)
		}
		for steps := 0; len(a.next) > 0; steps++ {
			require.Less(t, steps, maxPlatformSteps+1)
			w.act(a, "away")
		}
		require.Equal(t, core.RunUnknown, a.reply.Refusal.Run)
	})
}
