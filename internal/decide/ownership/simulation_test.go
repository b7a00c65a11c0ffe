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
	stepLength        = 250 * time.Millisecond
	heartbeatInterval = time.Second
	livenessTimeout   = 4 * time.Second
	maxRecovery       = 90 * time.Second // every target must be owned again within this time after the faults end
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// process is one run of a host: a machine with its own clock.
type process struct {
	id            core.HostID
	host          int
	machine       *Machine
	clockRate     float64 // relative to simulated time
	clockOffset   time.Duration
	replaced      bool // never runs again, but may still own targets by its own clock
	leaving       bool
	lastHeartbeat map[core.HostID]time.Duration // received from each other host
	inbox         []func(now time.Time) []Effect
	nextHeartbeat time.Duration
}

func (p *process) now(at time.Duration) time.Time {
	return startTime.Add(p.clockOffset + time.Duration(float64(at)*p.clockRate))
}

// event is scheduled to run at a later simulated time.
type event struct {
	at  time.Duration
	run func()
}

// simulation runs machines against a fake table under a schedule of faults.
type simulation struct {
	t          require.TestingT
	random     *rand.Rand
	targets    []core.TargetID
	table      *table
	faults     []fault
	now        time.Duration
	processes  []*process
	events     []event
	fences     map[core.TargetID]core.Fence
	carriedOut map[int]bool // faults, by index, that have replaced their process
	trace      []string
}

func newSimulation(t require.TestingT, seed int64, hosts, targets int, faults []fault) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewSource(seed)), table: newTable(), faults: faults,
		fences: map[core.TargetID]core.Fence{}, carriedOut: map[int]bool{},
	}
	for i := range targets {
		s.targets = append(s.targets, core.TargetID(fmt.Sprintf("t%d", i)))
	}
	for i := range hosts {
		s.start(i)
	}
	return s
}

func (s *simulation) start(host int) {
	p := &process{
		id: core.HostID(fmt.Sprintf("h%d", host)), host: host,
		clockRate:     0.97 + 0.06*s.random.Float64(),
		clockOffset:   time.Duration(s.random.Int63n(int64(time.Hour))),
		lastHeartbeat: map[core.HostID]time.Duration{},
	}
	session := core.SessionID(fmt.Sprintf("%s-%d", p.id, len(s.processes)))
	p.machine = New(p.id, session, DefaultTiming())
	s.processes = append(s.processes, p)
	s.perform(p, p.machine.SetTargets(s.targets, p.now(s.now)))
}

func (s *simulation) active(kind faultKind, host int) bool {
	return slices.ContainsFunc(s.faults, func(f fault) bool {
		return f.Kind == kind && f.Host == host && f.Start <= s.now && s.now < f.End
	})
}

func (s *simulation) anyActive(kind faultKind) bool {
	return slices.ContainsFunc(s.faults, func(f fault) bool {
		return f.Kind == kind && f.Start <= s.now && s.now < f.End
	})
}

func (s *simulation) paused(p *process) bool { return p.replaced || s.active(pauseHost, p.host) }

func (s *simulation) reachesPlatform(p *process) bool {
	return !s.anyActive(outage) && !s.active(cutPlatform, p.host)
}

// runUntil advances the simulation in steps and checks it before and after each step.
func (s *simulation) runUntil(end time.Duration) {
	for s.now < end {
		s.now += stepLength
		s.runEvents()
		s.check()
		s.replaceProcesses()
		for _, p := range s.processes {
			if !s.paused(p) {
				s.runProcess(p)
			}
		}
		s.check()
	}
}

func (s *simulation) runEvents() {
	pending := s.events
	s.events = nil
	for _, e := range pending {
		if e.at <= s.now {
			e.run()
		} else {
			s.events = append(s.events, e)
		}
	}
}

// replaceProcesses carries out the faults that replace a process.
func (s *simulation) replaceProcesses() {
	for i, f := range s.faults {
		if s.carriedOut[i] || f.Start > s.now || (f.Kind != replaceHost && f.Kind != leaveHost) {
			continue
		}
		p := s.processes[slices.IndexFunc(s.processes, func(p *process) bool { return p.host == f.Host && !p.replaced })]
		if f.Kind == leaveHost && !p.leaving && !s.paused(p) {
			p.leaving = true
			s.perform(p, p.machine.Leave(p.now(s.now)))
		}
		if f.Kind == replaceHost || f.End <= s.now {
			s.carriedOut[i] = true
			p.replaced = true
			s.start(f.Host)
		}
	}
}

// runProcess lets a process handle its inbox, send a heartbeat and tick.
func (s *simulation) runProcess(p *process) {
	now := p.now(s.now)
	inbox := p.inbox
	p.inbox = nil
	for _, handle := range inbox {
		s.perform(p, handle(now))
	}
	if s.now >= p.nextHeartbeat {
		p.nextHeartbeat = s.now + heartbeatInterval
		s.sendHeartbeat(p, now)
	}
	live := []core.HostID{}
	if !p.leaving {
		live = append(live, p.id)
	}
	for id, receivedAt := range p.lastHeartbeat {
		if s.now-receivedAt < livenessTimeout && id != p.id {
			live = append(live, id)
		}
	}
	p.machine.SetLiveHosts(live, now)
	s.perform(p, p.machine.Tick(now))
}

func (s *simulation) sendHeartbeat(from *process, now time.Time) {
	if s.active(cutPeers, from.host) {
		return
	}
	report := PeerReport{Host: from.id, PlatformReached: s.reachesPlatform(from), Degraded: from.machine.Degraded(now)}
	for _, to := range s.processes {
		if to == from || to.replaced || s.active(cutPeers, to.host) {
			continue
		}
		to.inbox = append(to.inbox, func(now time.Time) []Effect {
			if !from.leaving {
				to.lastHeartbeat[from.id] = s.now
			}
			received := report
			received.ReceivedAt = now
			to.machine.HandlePeerReport(received, now)
			return nil
		})
	}
}

func (s *simulation) perform(p *process, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadRows:
			s.read(p, e)
		case CommitRows:
			s.commit(p, e)
		case Acquired:
			s.tracef("%v %s acquired %s fence %d", s.now, p.machine.session, e.Target, e.Fence)
			require.Greater(s.t, e.Fence, s.fences[e.Target], "the fence of %s must grow", e.Target)
			s.fences[e.Target] = e.Fence
		case Lost:
			s.tracef("%v %s lost %s", s.now, p.machine.session, e.Target)
		}
	}
}

func (s *simulation) tracef(format string, values ...any) {
	s.trace = append(s.trace, fmt.Sprintf(format, values...))
}

// owners returns the processes that own a target now by their own clocks. Degraded ones
// are included only if includeDegraded is set.
func (s *simulation) owners(target core.TargetID, includeDegraded bool) []string {
	var owners []string
	for _, p := range s.processes {
		now := p.now(s.now)
		_, owns := p.machine.Owns(target, now)
		if owns && (includeDegraded || !p.machine.Degraded(now)) {
			owners = append(owners, string(p.machine.session))
		}
	}
	return owners
}

func (s *simulation) check() {
	for _, target := range s.targets {
		owners := s.owners(target, false)
		if len(owners) > 1 {
			require.LessOrEqual(s.t, len(owners), 1, "at %v %s is owned by %v: %q", s.now, target, owners, s.trace)
		}
	}
}

func (s *simulation) unowned() []core.TargetID {
	var unowned []core.TargetID
	for _, target := range s.targets {
		if len(s.owners(target, true)) != 1 {
			unowned = append(unowned, target)
		}
	}
	return unowned
}
