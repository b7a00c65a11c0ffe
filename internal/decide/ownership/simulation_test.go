package ownership

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

const (
	stepLength     = 250 * time.Millisecond
	heartbeatEvery = time.Second
	liveFor        = 4 * time.Second
	recoveryBound  = 90 * time.Second // longest time in which every target is owned again after faults end
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// process is one machine with its own clock.
type process struct {
	id       core.HostID
	host     int
	machine  *Machine
	rate     float64 // of its clock against the world's
	offset   time.Duration
	gone     bool // replaced; it may still believe that it owns something
	left     bool
	heard    map[core.HostID]time.Duration
	inbox    []func(now time.Time) []Effect
	nextBeat time.Duration
}

func (p *process) now(at time.Duration) time.Time {
	return epochStart.Add(p.offset + time.Duration(float64(at)*p.rate))
}

// arrival is something that happens at a later time.
type arrival struct {
	at  time.Duration
	run func()
}

// world runs machines against a fake table under a schedule of faults.
type world struct {
	t         require.TestingT
	random    *rand.Rand
	targets   []core.TargetID
	table     *table
	faults    []fault
	at        time.Duration
	processes []*process
	arrivals  []arrival
	fences    map[core.TargetID]core.Fence
	replaced  map[int]bool // faults already carried out
	trace     []string
}

func newWorld(t require.TestingT, seed int64, hosts, targets int, faults []fault) *world {
	w := &world{
		t: t, random: rand.New(rand.NewSource(seed)), table: newTable(), faults: faults,
		fences: map[core.TargetID]core.Fence{}, replaced: map[int]bool{},
	}
	for i := range targets {
		w.targets = append(w.targets, core.TargetID(fmt.Sprintf("t%d", i)))
	}
	for i := range hosts {
		w.start(i)
	}
	return w
}

func (w *world) start(host int) {
	p := &process{
		id: core.HostID(fmt.Sprintf("h%d", host)), host: host,
		rate:   0.97 + 0.06*w.random.Float64(),
		offset: time.Duration(w.random.Int63n(int64(time.Hour))),
		heard:  map[core.HostID]time.Duration{},
	}
	session := core.SessionID(fmt.Sprintf("%s-%d", p.id, len(w.processes)))
	p.machine = New(p.id, session, DefaultTiming())
	w.processes = append(w.processes, p)
	w.perform(p, p.machine.SetTargets(w.targets, p.now(w.at)))
}

func (w *world) active(kind faultKind, host int) bool {
	return slices.ContainsFunc(w.faults, func(f fault) bool {
		return f.Kind == kind && f.Host == host && f.Start <= w.at && w.at < f.End
	})
}

func (w *world) anywhere(kind faultKind) bool {
	return slices.ContainsFunc(w.faults, func(f fault) bool {
		return f.Kind == kind && f.Start <= w.at && w.at < f.End
	})
}

func (w *world) paused(p *process) bool { return p.gone || w.active(pauseHost, p.host) }

func (w *world) reachesPlatform(p *process) bool {
	return !w.anywhere(outage) && !w.active(cutPlatform, p.host)
}

// runUntil advances the world and checks it at every instant.
func (w *world) runUntil(end time.Duration) {
	for w.at < end {
		w.at += stepLength
		w.arrive()
		w.check()
		w.carryOut()
		for _, p := range w.processes {
			if !w.paused(p) {
				w.wake(p)
			}
		}
		w.check()
	}
}

func (w *world) arrive() {
	pending := w.arrivals
	w.arrivals = nil
	for _, a := range pending {
		if a.at <= w.at {
			a.run()
		} else {
			w.arrivals = append(w.arrivals, a)
		}
	}
}

// carryOut starts the faults that replace a process.
func (w *world) carryOut() {
	for i, f := range w.faults {
		if w.replaced[i] || f.Start > w.at || (f.Kind != replaceHost && f.Kind != leaveHost) {
			continue
		}
		p := w.processes[slices.IndexFunc(w.processes, func(p *process) bool { return p.host == f.Host && !p.gone })]
		if f.Kind == leaveHost && !p.left && !w.paused(p) {
			p.left = true
			w.perform(p, p.machine.Leave(p.now(w.at)))
		}
		if f.Kind == replaceHost || f.End <= w.at {
			w.replaced[i] = true
			p.gone = true
			w.start(f.Host)
		}
	}
}

// wake lets a process handle what has arrived, beat and tick.
func (w *world) wake(p *process) {
	now := p.now(w.at)
	inbox := p.inbox
	p.inbox = nil
	for _, handle := range inbox {
		w.perform(p, handle(now))
	}
	if w.at >= p.nextBeat {
		p.nextBeat = w.at + heartbeatEvery
		w.beat(p, now)
	}
	live := []core.HostID{}
	if !p.left {
		live = append(live, p.id)
	}
	for id, heardAt := range p.heard {
		if w.at-heardAt < liveFor && id != p.id {
			live = append(live, id)
		}
	}
	p.machine.SetLiveHosts(live, now)
	w.perform(p, p.machine.Tick(now))
}

func (w *world) beat(from *process, now time.Time) {
	if w.active(cutPeers, from.host) {
		return
	}
	report := PeerReport{Host: from.id, PlatformReached: w.reachesPlatform(from), Degraded: from.machine.Degraded(now)}
	for _, to := range w.processes {
		if to == from || to.gone || w.active(cutPeers, to.host) {
			continue
		}
		to.inbox = append(to.inbox, func(now time.Time) []Effect {
			if !from.left {
				to.heard[from.id] = w.at
			}
			received := report
			received.ReceivedAt = now
			to.machine.HandlePeerReport(received, now)
			return nil
		})
	}
}

func (w *world) perform(p *process, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadRows:
			w.read(p, e)
		case CommitRows:
			w.commit(p, e)
		case Acquired:
			w.note("%v %s acquired %s fence %d", w.at, p.machine.session, e.Target, e.Fence)
			require.Greater(w.t, e.Fence, w.fences[e.Target], "the fence of %s grows", e.Target)
			w.fences[e.Target] = e.Fence
		case Lost:
			w.note("%v %s lost %s", w.at, p.machine.session, e.Target)
		}
	}
}

func (w *world) note(format string, values ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, values...))
}

// owners returns the processes that believe now that they own a target; degraded ones
// are left out unless asked for.
func (w *world) owners(target core.TargetID, withDegraded bool) []string {
	var owners []string
	for _, p := range w.processes {
		now := p.now(w.at)
		_, owns := p.machine.Owns(target, now)
		if owns && (withDegraded || !p.machine.Degraded(now)) {
			owners = append(owners, string(p.machine.session))
		}
	}
	return owners
}

func (w *world) check() {
	for _, target := range w.targets {
		owners := w.owners(target, false)
		if len(owners) > 1 {
			require.LessOrEqual(w.t, len(owners), 1, "at %v %s is owned by %v: %q", w.at, target, owners, w.trace)
		}
	}
}

func (w *world) unowned() []core.TargetID {
	var unowned []core.TargetID
	for _, target := range w.targets {
		if len(w.owners(target, true)) != 1 {
			unowned = append(unowned, target)
		}
	}
	return unowned
}
