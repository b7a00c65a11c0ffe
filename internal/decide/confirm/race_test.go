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

func (w *world) actions() map[string]func(*rapid.T) {
	fates := rapid.SampledFrom([]string{delivered, delivered, delivered, delivered, deliveredLost, deliveredLate, deliveredNever})
	hosts := rapid.IntRange(0, hostCount-1)
	losses := func(t *rapid.T) func() bool {
		return func() bool { return rapid.IntRange(0, 3).Draw(t, "loss") == 0 }
	}
	return map[string]func(*rapid.T){
		"": w.check,
		"operate": func(t *rapid.T) {
			base := w.history[len(w.history)-1]
			if old := w.hosts[hosts.Draw(t, "host")].follower.InForce(); old != nil && rapid.Bool().Draw(t, "old") {
				base = old
			}
			if w.active() < maxActive {
				w.operate(base, drawIntent(t))
			}
		},
		"repeat": func(t *rapid.T) {
			again := rapid.SampledFrom(w.attempts).Draw(t, "attempt")
			if w.active() < maxActive {
				w.start(again.read)
			}
		},
		"step":   func(t *rapid.T) { w.step(rapid.SampledFrom(w.attempts).Draw(t, "attempt"), fates.Draw(t, "fate")) },
		"newest": func(t *rapid.T) { w.step(w.attempts[len(w.attempts)-1], fates.Draw(t, "fate")) },
		"land": func(t *rapid.T) {
			if len(w.late) > 0 {
				w.land(w.late[0])
				w.late = w.late[1:]
			}
		},
		"tick":    func(t *rapid.T) { w.tick(hosts.Draw(t, "host"), losses(t)) },
		"restart": func(t *rapid.T) { w.restart(hosts.Draw(t, "host")) },
		"hear": func(t *rapid.T) {
			i, j := hosts.Draw(t, "host"), hosts.Draw(t, "peer")
			claimed := core.Revision(rapid.IntRange(0, len(w.history)).Draw(t, "claimed"))
			w.hear(i, j, claimed, losses(t))
		},
		"carry": func(t *rapid.T) {
			i, j := hosts.Draw(t, "host"), hosts.Draw(t, "peer")
			if config := w.hosts[j].follower.InForce(); config != nil {
				w.run(w.hosts[i], w.hosts[i].follower.Offer(config, w.now), losses(t))
			}
		},
	}
}

// settle ends all failures and checks that everything comes to rest.
func (w *world) settle(t *rapid.T) {
	for _, s := range w.late {
		w.land(s)
	}
	w.late = nil
	for _, a := range slices.Clone(w.attempts) {
		if finish, ended := a.next.(confirm.Finish); ended && finish.Outcome == confirm.Unknown {
			w.start(a.read)
		}
	}
	for _, a := range w.attempts {
		for range 20 {
			w.step(a, delivered)
		}
		finish, ended := a.next.(confirm.Finish)
		require.True(t, ended, "a confirmation does not end")
		if finish.Outcome == confirm.Unknown {
			continue
		}
		w.check(t)
	}
	for range settleTicks {
		for i := range w.hosts {
			w.tick(i, func() bool { return false })
		}
	}
	for _, h := range w.hosts {
		require.Equal(t, w.head.Revision, h.follower.Revision(), "a host does not follow")
	}
	w.check(t)
}

// Over races of operators, lost and late answers, restarts and stale peers: what is
// confirmed is in the history exactly once and as read, what was refused never is, and
// hosts only go forward.
func TestConfirmedChangesAreNeitherLostNorUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle(t)
	})
}

// newTime is the moment at which every test starts.
func newTime() time.Time { return time.Unix(0, 0) }
