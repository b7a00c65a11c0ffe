package ownership

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Machine decides which targets of its data centre this host owns. It is not safe for
// concurrent use. Every method takes the current time, which must never go back.
type Machine struct {
	self    core.HostID
	session core.SessionID
	timing  Timing

	targets map[core.TargetID]bool
	live    map[core.HostID]time.Time // live hosts of the data centre, and since when
	known   map[core.HostID]bool      // hosts of the data centre when the platform last answered
	reports map[core.HostID]PeerReport

	lease   ownLease
	watches map[core.HostID]*watch
	owners  map[core.TargetID]OwnerRow
	fresh   bool                          // owners can be the conditions of a transaction
	settled time.Time                     // when a transaction on owners was last answered
	owned   map[core.TargetID]core.Fence  // what this host owns
	aside   map[core.TargetID]time.Time   // owned targets that another host should own, and since when
	order   []core.TargetID               // targets, sorted
	choice  map[core.TargetID]core.HostID // preferred owners
	chosen  []core.HostID                 // hosts from which choice was made

	platformAway bool
	leaving      bool
	overslept    bool      // paused past the end of the lease; what was owned is dropped by the next step
	seenAt       time.Time // latest time that any method was given
	confirmedAt  time.Time // latest time at which a majority was cut off from the platform
	nextID       uint64
	commit       *openCommit // nil while none is open
	readAll      openRead
	readOwn      openRead
	commitAfter  time.Time
	renewAt      time.Time
	readAllAt    time.Time
	readOwnAt    time.Time
}

// New returns a machine that owns nothing.
func New(self core.HostID, session core.SessionID, timing Timing) *Machine {
	return &Machine{
		self: self, session: session, timing: timing,
		targets: map[core.TargetID]bool{},
		live:    map[core.HostID]time.Time{},
		known:   map[core.HostID]bool{},
		reports: map[core.HostID]PeerReport{},
		lease:   ownLease{sent: map[uint64]time.Time{}},
		watches: map[core.HostID]*watch{},
		owners:  map[core.TargetID]OwnerRow{},
		owned:   map[core.TargetID]core.Fence{},
		aside:   map[core.TargetID]time.Time{},
	}
}

// SetTargets sets the targets of the data centre.
func (m *Machine) SetTargets(targets []core.TargetID, now time.Time) []Effect {
	m.order = slices.Compact(slices.Sorted(slices.Values(targets)))
	m.targets = make(map[core.TargetID]bool, len(m.order))
	for _, target := range m.order {
		m.targets[target] = true
	}
	m.chosen = nil
	var effects []Effect
	for _, target := range m.ownedTargets() {
		if !m.targets[target] {
			effects = append(effects, m.lose(target))
		}
	}
	return append(effects, m.step(now)...)
}

// SetLiveHosts sets the live hosts of the data centre, this one included, without those
// that are leaving.
func (m *Machine) SetLiveHosts(hosts []core.HostID, now time.Time) {
	live := make(map[core.HostID]time.Time, len(hosts))
	for _, host := range hosts {
		live[host] = now
		if since, ok := m.live[host]; ok {
			live[host] = since
		}
	}
	m.live = live
}

// HandlePeerReport takes in what a host of the data centre says of itself.
func (m *Machine) HandlePeerReport(report PeerReport, now time.Time) {
	m.noticePause(now)
	m.reports[report.Host] = report
}

// Tick drives everything that depends on time.
func (m *Machine) Tick(now time.Time) []Effect { return m.step(now) }

// Owns returns the fence of a target that this host owns now, and false otherwise.
func (m *Machine) Owns(target core.TargetID, now time.Time) (core.Fence, bool) {
	fence, owned := m.owned[target]
	if !owned || !(m.leaseValid(now) || m.goesOn(now)) {
		return 0, false
	}
	return fence, true
}

// Holder returns the host that the latest read of the table named as a target's owner, or
// an empty identifier. It may be out of date.
func (m *Machine) Holder(target core.TargetID) core.HostID { return m.owners[target].Holder }

// Degraded reports whether this host goes on owning targets although its lease has run out.
func (m *Machine) Degraded(now time.Time) bool {
	return m.lease.held && !m.leaseValid(now) && m.goesOn(now)
}

// Leave gives up every target and then ends the lease, so that successors need not wait.
func (m *Machine) Leave(now time.Time) []Effect {
	m.leaving = true
	effects := m.loseAll()
	return append(effects, m.step(now)...)
}

// step brings everything up to the given time and returns what has to be done.
func (m *Machine) step(now time.Time) []Effect {
	m.noticePause(now)
	m.dropLateAnswers(now)
	effects := m.checkLease(now)
	m.choose(now)
	effects = append(effects, m.nextCommit(now)...)
	return append(effects, m.nextReads(now)...)
}

// noticePause voids what peers said when the control thread was silent for long: what
// is read after a pause may have been sent long before.
func (m *Machine) noticePause(now time.Time) {
	if !m.seenAt.IsZero() && now.Sub(m.seenAt) > m.timing.MaxPause {
		clear(m.reports)
		m.overslept = m.lease.held && !m.leaseValid(now)
	}
	m.seenAt = now
}

// checkLease drops everything once the lease has run out, unless the platform is away
// for a majority of the data centre.
func (m *Machine) checkLease(now time.Time) []Effect {
	if m.leaseValid(now) {
		m.overslept = false
	}
	if m.outageConfirmed(now) {
		m.confirmedAt = now
	}
	if !m.lease.held || m.leaseValid(now) || m.goesOn(now) {
		return nil
	}
	m.overslept = false
	m.lease.abandon()
	return m.loseAll()
}

func (m *Machine) leaseValid(now time.Time) bool {
	return m.lease.held && now.Before(m.lease.validUntil)
}

// goesOn reports whether this host may own without a valid lease: during an outage, and
// for a short time after it, in which the lease is renewed. Takers watch for longer.
func (m *Machine) goesOn(now time.Time) bool {
	if m.overslept || now.Sub(m.seenAt) > m.timing.MaxPause {
		return false
	}
	recent := !m.confirmedAt.IsZero() && now.Sub(m.confirmedAt) <= m.timing.renewGrace()
	return recent || m.outageConfirmed(now)
}

// outageConfirmed reports whether this host and a majority of the hosts that it last
// knew in its data centre cannot reach the platform, so that no successor can have been
// appointed unless it is cut off from that majority.
func (m *Machine) outageConfirmed(now time.Time) bool {
	if !m.platformAway || now.Sub(m.seenAt) > m.timing.MaxPause {
		return false
	}
	away := 1
	for host := range m.known {
		report, ok := m.reports[host]
		if host != m.self && ok && !report.PlatformReached && m.isFresh(report, now) {
			away++
		}
	}
	return 2*away > len(m.known)
}

func (m *Machine) isFresh(report PeerReport, now time.Time) bool {
	return now.Sub(report.ReceivedAt) <= m.timing.PeerReportMaxAge
}

// platformAnswered notes that the platform was reached, and which hosts there are then.
func (m *Machine) platformAnswered() {
	m.platformAway = false
	clear(m.known)
	m.known[m.self] = true
	for host := range m.live {
		m.known[host] = true
	}
	for host, w := range m.watches {
		if !w.stale(m.timing) {
			m.known[host] = true
		}
	}
}

// ownedTargets returns what this host owns, sorted.
func (m *Machine) ownedTargets() []core.TargetID {
	targets := make([]core.TargetID, 0, len(m.owned))
	for target := range m.owned {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}

func (m *Machine) lose(target core.TargetID) Effect {
	delete(m.owned, target)
	delete(m.aside, target)
	return Lost{Target: target}
}

func (m *Machine) loseAll() []Effect {
	m.fresh = false
	var effects []Effect
	for _, target := range m.ownedTargets() {
		effects = append(effects, m.lose(target))
	}
	return effects
}

func (m *Machine) newID() uint64 {
	m.nextID++
	return m.nextID
}
