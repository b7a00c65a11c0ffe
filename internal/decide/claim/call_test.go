package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const lifetime = 30 * time.Second

var faults = []string{"", "", "", "unavailable", "lost", "answer lost", "refused", "unsent"}

func (sim *simulation) randomStep() {
	sim.tick++
	switch rapid.SampledFrom([]string{"act", "act", "act", "act", "add", "late write", "late call", "expire"}).Draw(sim.t, "what") {
	case "act":
		sim.act(sim.actors[rapid.IntRange(0, len(sim.actors)-1).Draw(sim.t, "actor")], rapid.SampledFrom(faults).Draw(sim.t, "fault"))
	case "add":
		sim.add(byte(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(sim.t, "body")))
	case "late write":
		if len(sim.inFlight) > 0 {
			sim.apply(sim.inFlight[0].version, sim.inFlight[0].record)
			sim.inFlight = sim.inFlight[1:]
		}
	case "late call":
		if len(sim.pending) > 0 {
			sim.pending = sim.pending[1:]
			sim.run()
		}
	case "expire":
		sim.now = sim.now.Add(lifetime)
	}
}

func TestAtMostOneRunAndTrueRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.add(1)
		sim.add(1)
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			sim.randomStep()
		}
		for _, a := range sim.actors {
			if rapid.IntRange(0, 4).Draw(t, "dead") == 0 {
				continue
			}
			for steps := 0; len(a.next) > 0; steps++ {
				require.Less(t, steps, 2*(maxPlatformSteps+maxOutcomeSteps+maxWaits), "the call does not end")
				sim.tick++
				sim.act(a, rapid.SampledFrom(faults).Draw(t, "fault"))
			}
			require.NotNil(t, a.reply, "the caller gets no answer")
		}
		for len(sim.pending) > 0 {
			sim.pending = sim.pending[1:]
			sim.run()
		}
	})
}

func TestUsualCallTakesTwoWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.add(1)
		sim.add(1)
		for _, a := range sim.actors {
			for len(a.next) > 0 {
				sim.act(a, "")
			}
		}
		require.Equal(t, EffectAnswer, sim.actors[0].reply.Kind)
		require.Equal(t, 2, sim.actors[0].writes)
		require.Equal(t, EffectReplay, sim.actors[1].reply.Kind)
		require.Zero(t, sim.actors[1].writes)
	})
}

// A call whose key is in use by another call polls for that call's outcome, and never claims
// a row that has become void meanwhile.
func TestWaitsForTheOutcomeOfAnotherCall(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	running := Event{Kind: EventRead, Version: 1, Record: Record{State: core.ClaimSent, Attempt: core.GenerationID{9}, ExpiresAt: now.Add(lifetime)}}
	answered, void := running, running
	answered.Record.State, void.Record.State = core.ClaimAnswered, core.ClaimVoid
	first, _ := New("h", core.GenerationID{1}, [16]byte{}, lifetime)
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

// A retry of a call with unknown outcome must not be told "not run" while the platform is
// unavailable.
func TestUnavailablePlatformIsNotNotRun(t *testing.T) {
	call, _ := New("h", core.GenerationID{1}, [16]byte{}, lifetime)
	_, effects := call.Step(Event{Kind: EventReadFailed}, time.Time{})
	require.Equal(t, core.RefusedPlatformUnavailable, effects[0].Refusal.Kind)
	require.Equal(t, core.RunUnknown, effects[0].Refusal.Run)
}

// A row that was only claimed is made void by compare-and-swap before a caller is told "not
// run".
func TestTakeoverOfADeadClaimant(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for state, want := range map[core.ClaimState]core.RunState{core.ClaimClaimed: core.NotRun, core.ClaimSent: core.RunUnknown} {
		call, _ := New("h", core.GenerationID{1}, [16]byte{}, lifetime)
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

// A platform that becomes unavailable during the call and stays so does not keep the caller
// waiting.
func TestUnavailablePlatformEndsTheCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.add(1)
		a := sim.actors[0]
		for _, fault := range []string{"", "", rapid.SampledFrom([]string{"lost", "answer lost", "unavailable"}).Draw(t, "fault")} {
			sim.act(a, fault)
		}
		for steps := 0; len(a.next) > 0; steps++ {
			require.Less(t, steps, maxPlatformSteps+1)
			sim.act(a, "unavailable")
		}
		require.Equal(t, core.RunUnknown, a.reply.Refusal.Run)
	})
}
