package orders

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (s *simulation) actions() map[string]func(*rapid.T) {
	hosts := rapid.IntRange(0, hostCount-1)
	pick := func(t *rapid.T) *owner { return s.owners[hosts.Draw(t, "host")] }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 24).Draw(t, "halves")) * 500 * time.Millisecond)
		},
		"take":  func(t *rapid.T) { s.own(hosts.Draw(t, "host")) },
		"renew": func(*rapid.T) { s.own(max(s.holder, 0)) },
		"work": func(t *rapid.T) {
			s.own(max(s.holder, 0))
			s.step(s.owners[s.holder], time.Duration(rapid.IntRange(0, 3).Draw(t, "delay"))*time.Second)
		},
		"last moment": func(t *rapid.T) {
			s.advance(s.leaseExpiresAt.Sub(s.now) - time.Duration(rapid.IntRange(0, 6).Draw(t, "halves"))*500*time.Millisecond)
			s.step(s.owners[max(s.holder, 0)], 3*time.Second)
		},
		"hand over": func(t *rapid.T) {
			s.advance(s.leaseExpiresAt.Sub(s.now))
			s.own((s.holder + 1) % hostCount)
			s.step(s.owners[s.holder], 0)
		},
		"lose": func(t *rapid.T) { o := pick(t); s.perform(o, o.machine.EndOwnership()) },
		"tick": func(t *rapid.T) { o := pick(t); s.perform(o, o.machine.Tick(s.now)) },
		"send": func(t *rapid.T) { s.send(pick(t), time.Duration(rapid.IntRange(0, 10).Draw(t, "delay"))*time.Second) },
		"arrive one": func(t *rapid.T) {
			if s.checksFences && len(s.network) > 0 {
				at := rapid.IntRange(0, len(s.network)-1).Draw(t, "order")
				order := s.network[at].order
				s.network = slices.Delete(s.network, at, at+1)
				s.apply(order)
			}
		},
		"answer": func(t *rapid.T) { s.respond(pick(t)) },
		"grant":  func(t *rapid.T) { s.grant(pick(t)) },
		"streams": func(t *rapid.T) {
			o := pick(t)
			s.perform(o, o.machine.SetOldStreams(rapid.IntRange(0, 1).Draw(t, "old"), s.now))
		},
		"want": func(t *rapid.T) {
			o := pick(t)
			s.perform(o, o.machine.SetDesired(rapid.SampledFrom(versions).Draw(t, "version"), s.holdsTwo, s.now))
		},
		"restart": func(*rapid.T) { s.restartEngine() },
	}
}

// settle lets the last host own the target without further faults and checks the result.
func (s *simulation) settle() {
	s.advance(2 * leaseTTL)
	s.deliver(true)
	other, last := s.owners[0], s.owners[1]
	other.queue, other.reads = nil, nil
	s.perform(other, other.machine.EndOwnership())
	s.grant(other)
	s.perform(last, last.machine.EndOwnership())
	s.grant(last)
	s.perform(last, last.machine.SetOldStreams(0, s.now))
	s.perform(last, last.machine.SetDesired(versions[2], s.holdsTwo, s.now))
	for range 60 {
		s.own(1)
		s.step(last, 0)
		s.deliver(true)
	}
	require.Len(s.t, s.readyAt, 1)
	require.Contains(s.t, s.readyAt, versions[2], "the engine does not come to hold the desired version")
	require.Equal(s.t, versions[2], s.activeVersion)
	require.False(s.t, other.hasSlot || last.hasSlot, "a slot is not released")
}

// TestFormerOwnerNeverOverridesSuccessor simulates pauses, lost leases, late orders and
// restarts of the engine. No order of a host that has lost its lease may take effect after
// its successor has become the owner, and no version in use may be unloaded. Without
// further faults the engine comes to hold only the desired version.
func TestFormerOwnerNeverOverridesSuccessor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.actions())
		s.settle()
	})
}

func TestEffectsByState(t *testing.T) {
	now := time.Unix(50, 0)
	both := []LoadedVersion{{versions[0], true}, {versions[1], true}}
	cases := map[string]struct {
		holdsTwo   bool
		lease      time.Duration
		hasSlot    bool
		oldStreams int
		loaded     []LoadedVersion
		want       []Effect
	}{
		"no slot":                  {true, leaseTTL, false, 0, both[:1], []Effect{AcquireLoadSlot{}}},
		"slot held":                {true, leaseTTL, true, 0, both[:1], []Effect{SendOrder{Fence: 4, Kind: Load, Version: versions[1], NotAfter: now.Add(7 * time.Second), Timeout: 2 * time.Second}}},
		"too little lease time":    {true, 3 * time.Second, true, 0, both[:1], nil},
		"loading":                  {true, leaseTTL, true, 0, []LoadedVersion{{versions[1], false}}, nil},
		"ready":                    {true, leaseTTL, true, 0, both, []Effect{ReleaseLoadSlot{}, SwitchVersion{versions[1]}}},
		"cannot hold two versions": {false, leaseTTL, true, 1, both[:1], []Effect{StopNewWork{}}},
		"lease expired":            {true, 0, true, 0, both[:1], nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(DefaultTiming())
			m.SetDesired(versions[1], c.holdsTwo, now)
			m.hasSlot = c.hasSlot
			m.oldStreams = c.oldStreams
			m.SetOwnership(4, now.Add(c.lease), now)
			require.Equal(t, c.want, m.HandleState(StateResponse{ID: m.readID, OK: true, Versions: c.loaded}, now))
		})
	}
}
