package orders

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (w *world) actions() map[string]func(*rapid.T) {
	hosts := rapid.IntRange(0, hostCount-1)
	pick := func(t *rapid.T) *owner { return w.owners[hosts.Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 24).Draw(t, "halves")) * 500 * time.Millisecond)
		},
		"take":  func(t *rapid.T) { w.take(hosts.Draw(t, "host")) },
		"renew": func(*rapid.T) { w.take(max(w.holder, 0)) },
		"work": func(t *rapid.T) {
			w.take(max(w.holder, 0))
			w.work(w.owners[w.holder], time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))*time.Second)
		},
		"last moment": func(t *rapid.T) {
			w.advance(w.until.Sub(w.now) - time.Duration(rapid.IntRange(0, 6).Draw(t, "halves"))*500*time.Millisecond)
			w.work(w.owners[max(w.holder, 0)], 3*time.Second)
		},
		"hand over": func(t *rapid.T) {
			w.advance(w.until.Sub(w.now))
			w.take((w.holder + 1) % hostCount)
			w.work(w.owners[w.holder], 0)
		},
		"lose": func(t *rapid.T) { o := pick(t); w.collect(o, o.machine.EndOwnership()) },
		"tick": func(t *rapid.T) { o := pick(t); w.collect(o, o.machine.Tick(w.now)) },
		"send": func(t *rapid.T) { w.send(pick(t), time.Duration(rapid.IntRange(0, 10).Draw(t, "delay"))*time.Second) },
		"arrive one": func(t *rapid.T) {
			if w.fences && len(w.network) > 0 {
				at := rapid.IntRange(0, len(w.network)-1).Draw(t, "order")
				order := w.network[at].order
				w.network = slices.Delete(w.network, at, at+1)
				w.apply(order)
			}
		},
		"answer": func(t *rapid.T) { w.answer(pick(t)) },
		"grant":  func(t *rapid.T) { w.grant(pick(t)) },
		"streams": func(t *rapid.T) {
			o := pick(t)
			w.collect(o, o.machine.SetOldStreams(rapid.IntRange(0, 1).Draw(t, "old"), w.now))
		},
		"want": func(t *rapid.T) {
			o := pick(t)
			w.collect(o, o.machine.SetDesired(rapid.SampledFrom(versions).Draw(t, "version"), w.beside, w.now))
		},
		"restart": func(*rapid.T) { w.start() },
	}
}

// settle lets the last host own the target in peace.
func (w *world) settle() {
	w.advance(2 * leaseTTL)
	w.arrive(true)
	other, last := w.owners[0], w.owners[1]
	other.queue, other.read = nil, nil
	w.collect(other, other.machine.EndOwnership())
	w.grant(other)
	w.collect(last, last.machine.EndOwnership())
	w.grant(last)
	w.collect(last, last.machine.SetOldStreams(0, w.now))
	w.collect(last, last.machine.SetDesired(versions[2], w.beside, w.now))
	for range 60 {
		w.take(1)
		w.work(last, 0)
		w.arrive(true)
	}
	require.Len(w.t, w.held, 1)
	require.Contains(w.t, w.held, versions[2], "the engine does not come to hold the wanted version")
	require.Equal(w.t, versions[2], w.switched)
	require.False(w.t, other.slot || last.slot, "a slot is not given back")
}

// Over pauses, lost leases, late orders and restarts of the engine: no order of a host that
// lost its lease takes effect after its successor took over, nothing that is in use is
// unloaded, and in peace the engine comes to hold just the wanted version.
func TestAnOldOwnerNeverUndoesItsSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.settle()
	})
}

func TestOrdersInTheirSequence(t *testing.T) {
	now := time.Unix(50, 0)
	both := []LoadedVersion{{versions[0], true}, {versions[1], true}}
	cases := map[string]struct {
		beside bool
		lease  time.Duration
		slot   bool
		old    int
		held   []LoadedVersion
		want   []Effect
	}{
		"slot first":                {true, leaseTTL, false, 0, both[:1], []Effect{AcquireLoadSlot{}}},
		"load with a slot":          {true, leaseTTL, true, 0, both[:1], []Effect{SendOrder{Fence: 4, Kind: Load, Version: versions[1], NotAfter: now.Add(7 * time.Second), Timeout: 2 * time.Second}}},
		"too little lease time":     {true, 3 * time.Second, true, 0, both[:1], nil},
		"loading":                   {true, leaseTTL, true, 0, []LoadedVersion{{versions[1], false}}, nil},
		"ready":                     {true, leaseTTL, true, 0, both, []Effect{ReleaseLoadSlot{}, SwitchVersion{versions[1]}}},
		"no room, work stops first": {false, leaseTTL, true, 1, both[:1], []Effect{StopNewWork{}}},
		"lease over":                {true, 0, true, 0, both[:1], nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(DefaultTiming())
			m.SetDesired(versions[1], c.beside, now)
			m.slot = c.slot
			m.old = c.old
			m.SetOwnership(4, now.Add(c.lease), now)
			require.Equal(t, c.want, m.HandleState(StateResponse{ID: m.readID, OK: true, Versions: c.held}, now))
		})
	}
}
