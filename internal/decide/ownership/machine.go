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

	targets     map[core.TargetID]bool
	liveSince   map[core.HostID]time.Time // live hosts of the data centre, and since when
	knownHosts  map[core.HostID]bool      // hosts of the data centre when the platform was last reached
	peerReports map[core.HostID]PeerReport

	lease              ownLease
	leaseWatches       map[core.HostID]*leaseWatch
	ownerRows          map[core.TargetID]OwnerRow
	ownerRowsCurrent   bool                          // ownerRows can be the conditions of a transaction
	ownerRowsWrittenAt time.Time                     // when a transaction on owner rows was last answered
	owned              map[core.TargetID]core.Fence  // targets that this host owns
	misplacedSince     map[core.TargetID]time.Time   // owned targets with another preferred owner, and since when
	sortedTargets      []core.TargetID               // targets, sorted
	assignment         map[core.TargetID]core.HostID // preferred owner of each target
	assignmentHosts    []core.HostID                 // hosts for which assignment was computed

	platformUnavailable bool
	leaving             bool
	pausedPastLease     bool           // paused until after the lease expired; the next step drops what was owned
	lastCallAt          time.Time      // latest time that was passed to a method
	outageConfirmedAt   time.Time      // latest time at which a majority could not reach the platform
	nextID              uint64         // of the next read or transaction, less one
	commit              *pendingCommit // nil if none is pending
	fullRead            pendingRead
	ownLeaseRead        pendingRead
	retryCommitAt       time.Time // no transaction before then
	renewAt             time.Time
	lastFullReadAt      time.Time
	nextOwnLeaseReadAt  time.Time
}

// New returns a machine that owns nothing.
func New(self core.HostID, session core.SessionID, timing Timing) *Machine {
	return &Machine{
		self: self, session: session, timing: timing,
		targets:        map[core.TargetID]bool{},
		liveSince:      map[core.HostID]time.Time{},
		knownHosts:     map[core.HostID]bool{},
		peerReports:    map[core.HostID]PeerReport{},
		lease:          ownLease{sentAt: map[uint64]time.Time{}},
		leaseWatches:   map[core.HostID]*leaseWatch{},
		ownerRows:      map[core.TargetID]OwnerRow{},
		owned:          map[core.TargetID]core.Fence{},
		misplacedSince: map[core.TargetID]time.Time{},
	}
}

// SetTargets sets the targets of the data centre.
func (m *Machine) SetTargets(targets []core.TargetID, now time.Time) []Effect {
	m.sortedTargets = slices.Compact(slices.Sorted(slices.Values(targets)))
	m.targets = make(map[core.TargetID]bool, len(m.sortedTargets))
	for _, target := range m.sortedTargets {
		m.targets[target] = true
	}
	m.assignmentHosts = nil
	var effects []Effect
	for _, target := range m.ownedTargets() {
		if !m.targets[target] {
			effects = append(effects, m.dropTarget(target))
		}
	}
	return append(effects, m.advance(now)...)
}

// SetLiveHosts sets the live hosts of the data centre, including this one but not those
// that are leaving.
func (m *Machine) SetLiveHosts(hosts []core.HostID, now time.Time) {
	live := make(map[core.HostID]time.Time, len(hosts))
	for _, host := range hosts {
		live[host] = now
		if since, ok := m.liveSince[host]; ok {
			live[host] = since
		}
	}
	m.liveSince = live
}

// HandlePeerReport records the latest report of a host of the data centre.
func (m *Machine) HandlePeerReport(report PeerReport, now time.Time) {
	m.detectPause(now)
	m.peerReports[report.Host] = report
}

// Tick performs everything that is due at the given time.
func (m *Machine) Tick(now time.Time) []Effect { return m.advance(now) }

// Owns returns the fence of a target and whether this host owns the target now.
func (m *Machine) Owns(target core.TargetID, now time.Time) (core.Fence, bool) {
	fence, owned := m.owned[target]
	if !owned || !(m.leaseValid(now) || m.mayOwnWithoutLease(now)) {
		return 0, false
	}
	return fence, true
}

// Holder returns the host that the latest read of the table named as a target's owner, or
// an empty identifier. It may be out of date.
func (m *Machine) Holder(target core.TargetID) core.HostID { return m.ownerRows[target].Holder }

// Degraded reports whether this host keeps its targets although its lease has expired.
func (m *Machine) Degraded(now time.Time) bool {
	return m.lease.held && !m.leaseValid(now) && m.mayOwnWithoutLease(now)
}

// Leave drops every target and then ends the lease, so that successors need not wait for
// it to expire.
func (m *Machine) Leave(now time.Time) []Effect {
	m.leaving = true
	effects := m.dropAllTargets()
	return append(effects, m.advance(now)...)
}

// advance updates the state to the given time and returns the effects that are due.
func (m *Machine) advance(now time.Time) []Effect {
	m.detectPause(now)
	m.timeOutPending(now)
	effects := m.checkLease(now)
	m.updateAssignment(now)
	effects = append(effects, m.nextCommit(now)...)
	return append(effects, m.nextReads(now)...)
}

// detectPause discards all peer reports if no method was called for longer than
// Timing.MaxPause: a report received after a pause may have been sent long before.
func (m *Machine) detectPause(now time.Time) {
	if !m.lastCallAt.IsZero() && now.Sub(m.lastCallAt) > m.timing.MaxPause {
		clear(m.peerReports)
		m.pausedPastLease = m.lease.held && !m.leaseValid(now)
	}
	m.lastCallAt = now
}

// checkLease drops all targets once the lease has expired, unless a majority of the data
// centre cannot reach the platform.
func (m *Machine) checkLease(now time.Time) []Effect {
	if m.leaseValid(now) {
		m.pausedPastLease = false
	}
	if m.outageConfirmed(now) {
		m.outageConfirmedAt = now
	}
	if !m.lease.held || m.leaseValid(now) || m.mayOwnWithoutLease(now) {
		return nil
	}
	m.pausedPastLease = false
	m.lease.abandonEpoch()
	return m.dropAllTargets()
}

func (m *Machine) leaseValid(now time.Time) bool {
	return m.lease.held && now.Before(m.lease.expiresAt)
}

// mayOwnWithoutLease reports whether this host may own targets without a valid lease:
// during an outage of the platform, and for a short time after it in which the lease is
// renewed. Successors wait for longer than that.
func (m *Machine) mayOwnWithoutLease(now time.Time) bool {
	if m.pausedPastLease || now.Sub(m.lastCallAt) > m.timing.MaxPause {
		return false
	}
	recent := !m.outageConfirmedAt.IsZero() && now.Sub(m.outageConfirmedAt) <= m.timing.renewalGrace()
	return recent || m.outageConfirmed(now)
}

// outageConfirmed reports whether this host and a majority of the hosts that it last knew
// in its data centre cannot reach the platform. Then no other host can have acquired its
// targets, unless that host is partitioned from the majority.
func (m *Machine) outageConfirmed(now time.Time) bool {
	if !m.platformUnavailable || now.Sub(m.lastCallAt) > m.timing.MaxPause {
		return false
	}
	cutOff := 1
	for host := range m.knownHosts {
		report, ok := m.peerReports[host]
		if host != m.self && ok && !report.PlatformReached && m.isRecent(report, now) {
			cutOff++
		}
	}
	return 2*cutOff > len(m.knownHosts)
}

func (m *Machine) isRecent(report PeerReport, now time.Time) bool {
	return now.Sub(report.ReceivedAt) <= m.timing.PeerReportMaxAge
}

// recordPlatformReached records that the platform answered, and which hosts of the data
// centre are known at that time.
func (m *Machine) recordPlatformReached() {
	m.platformUnavailable = false
	clear(m.knownHosts)
	m.knownHosts[m.self] = true
	for host := range m.liveSince {
		m.knownHosts[host] = true
	}
	for host, w := range m.leaseWatches {
		if !w.lapsed(m.timing) {
			m.knownHosts[host] = true
		}
	}
}

// ownedTargets returns the targets that this host owns, sorted.
func (m *Machine) ownedTargets() []core.TargetID {
	targets := make([]core.TargetID, 0, len(m.owned))
	for target := range m.owned {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}

func (m *Machine) dropTarget(target core.TargetID) Effect {
	delete(m.owned, target)
	delete(m.misplacedSince, target)
	return Lost{Target: target}
}

func (m *Machine) dropAllTargets() []Effect {
	m.ownerRowsCurrent = false
	var effects []Effect
	for _, target := range m.ownedTargets() {
		effects = append(effects, m.dropTarget(target))
	}
	return effects
}

func (m *Machine) newID() uint64 {
	m.nextID++
	return m.nextID
}
