package confirm_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/confirm"
	"siskintide.example/siskintide/internal/decide/plan"
)

func drawIntent(t *rapid.T) plan.Intent {
	kinds := []plan.Kind{plan.TakeOut, plan.Return, plan.Drain, plan.Undrain, plan.BringIn}
	centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
	switch kind := rapid.SampledFrom(kinds).Draw(t, "kind"); kind {
	case plan.TakeOut, plan.Return:
		return plan.Intent{Kind: kind, DataCentre: core.DataCentreID(centre)}
	case plan.BringIn:
		version := rapid.SampledFrom([]core.ModelVersion{"1", "2"}).Draw(t, "version")
		return plan.Intent{Kind: kind, Model: "m", Version: version}
	default:
		return plan.Intent{Kind: kind, Targets: []core.TargetID{core.TargetID(centre + "-1")}}
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	deliveries := rapid.SampledFrom([]string{answered, answered, answered, answered, answerLost, appliedLate, neverApplied})
	hosts := rapid.IntRange(0, hostCount-1)
	losses := func(t *rapid.T) func() bool {
		return func() bool { return rapid.IntRange(0, 3).Draw(t, "loss") == 0 }
	}
	return map[string]func(*rapid.T){
		"": sim.check,
		"operate": func(t *rapid.T) {
			base := sim.history[len(sim.history)-1]
			if old := sim.hosts[hosts.Draw(t, "host")].follower.InForce(); old != nil && rapid.Bool().Draw(t, "old") {
				base = old
			}
			if sim.active() < maxActive {
				sim.operate(base, drawIntent(t))
			}
		},
		"repeat": func(t *rapid.T) {
			again := rapid.SampledFrom(sim.attempts).Draw(t, "attempt")
			if sim.active() < maxActive {
				sim.start(again.read)
			}
		},
		"step": func(t *rapid.T) {
			sim.step(rapid.SampledFrom(sim.attempts).Draw(t, "attempt"), deliveries.Draw(t, "fate"))
		},
		"newest": func(t *rapid.T) { sim.step(sim.attempts[len(sim.attempts)-1], deliveries.Draw(t, "fate")) },
		"land": func(t *rapid.T) {
			if len(sim.late) > 0 {
				sim.apply(sim.late[0])
				sim.late = sim.late[1:]
			}
		},
		"tick":    func(t *rapid.T) { sim.tick(hosts.Draw(t, "host"), losses(t)) },
		"restart": func(t *rapid.T) { sim.restart(hosts.Draw(t, "host")) },
		"hear": func(t *rapid.T) {
			i, j := hosts.Draw(t, "host"), hosts.Draw(t, "peer")
			claimed := core.Revision(rapid.IntRange(0, len(sim.history)).Draw(t, "claimed"))
			sim.announce(i, j, claimed, losses(t))
		},
		"carry": func(t *rapid.T) {
			i, j := hosts.Draw(t, "host"), hosts.Draw(t, "peer")
			if config := sim.hosts[j].follower.InForce(); config != nil {
				sim.run(sim.hosts[i], sim.hosts[i].follower.Offer(config, sim.now), losses(t))
			}
		},
	}
}

// converge injects no more failures and checks that every confirmation ends and every host
// reaches the newest revision.
func (sim *simulation) converge(t *rapid.T) {
	for _, s := range sim.late {
		sim.apply(s)
	}
	sim.late = nil
	for _, a := range slices.Clone(sim.attempts) {
		if finish, ended := a.next.(confirm.Finish); ended && finish.Outcome == confirm.Unknown {
			sim.start(a.read)
		}
	}
	for _, a := range sim.attempts {
		for range 20 {
			sim.step(a, answered)
		}
		finish, ended := a.next.(confirm.Finish)
		require.True(t, ended, "a confirmation does not end")
		if finish.Outcome == confirm.Unknown {
			continue
		}
		sim.check(t)
	}
	for range convergeTicks {
		for i := range sim.hosts {
			sim.tick(i, func() bool { return false })
		}
	}
	for _, h := range sim.hosts {
		require.Equal(t, sim.head.Revision, h.follower.Revision(), "a host does not reach the newest revision")
	}
	sim.check(t)
}

// Under concurrent operators, lost and late responses, restarts and stale peers, a confirmed
// plan is in the history exactly once and with the changes that were read, a refused plan
// never is, and the revision of a host never decreases.
func TestConfirmedChangesAreNeitherLostNorUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.actions())
		sim.converge(t)
	})
}

// newTime returns the time at which every test starts.
func newTime() time.Time { return time.Unix(0, 0) }
