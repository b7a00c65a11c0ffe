package orders

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const (
	leaseTTL  = 10 * time.Second
	loadTime  = 5 * time.Second
	hostCount = 2
)

var versions = []Version{{"m", "1"}, {"m", "2"}, {"m", "3"}}

// sentOrder is an order in flight to the engine.
type sentOrder struct {
	order     SendOrder
	arrivesBy time.Time // latest time at which the order takes effect, unless the engine checks fences
}

// pendingRead is a read of the state that has not been answered.
type pendingRead struct {
	id    uint64
	epoch int
}

// owner is one host that may own the target.
type owner struct {
	machine      *Machine
	queue        []SendOrder // returned by machine, not yet sent
	reads        []pendingRead
	epoch        int             // grows with each order and each new ownership
	stateCurrent bool            // a read that was sent in this epoch has been answered
	holds        []LoadedVersion // of the engine, by the latest answer to a read
	requestsSlot bool
	hasSlot      bool
}

// simulation runs one engine, the hosts that may own it, and the load slot.
type simulation struct {
	t              *rapid.T
	now            time.Time
	checksFences   bool                  // the engine refuses old fences
	holdsTwo       bool                  // the engine can hold two versions
	highestFence   core.Fence            // of the orders that the engine has carried out
	readyAt        map[Version]time.Time // when each version that the engine holds is ready
	starts         int                   // of the engine
	network        []sentOrder
	owners         []*owner
	holder         int // index of the owner
	fence          core.Fence
	leaseExpiresAt time.Time
	activeVersion  Version // of the latest SwitchVersion
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), leaseExpiresAt: time.Unix(1000, 0), holder: -1, checksFences: rapid.Bool().Draw(t, "fences"), holdsTwo: rapid.Bool().Draw(t, "beside")}
	s.restartEngine()
	for range hostCount {
		o := &owner{machine: New(DefaultTiming())}
		o.machine.SetChecksFences(s.checksFences)
		o.machine.SetDesired(versions[0], s.holdsTwo, s.now)
		s.owners = append(s.owners, o)
	}
	return s
}

// restartEngine starts the engine anew with its built-in version.
func (s *simulation) restartEngine() {
	s.starts++
	s.highestFence = 0
	s.readyAt = map[Version]time.Time{versions[0]: s.now}
}

// perform checks the effects of an owner's machine and performs or queues them.
func (s *simulation) perform(o *owner, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadState:
			o.reads = append(o.reads, pendingRead{id: e.ID, epoch: o.epoch})
		case SendOrder:
			require.True(s.t, o.stateCurrent, "an order is based on a state that was read before the previous order")
			o.epoch++
			o.stateCurrent = false
			if e.Kind == Unload {
				holdsIt := slices.ContainsFunc(o.holds, func(loaded LoadedVersion) bool { return loaded.Version == e.Version })
				require.True(s.t, holdsIt || s.checksFences && e.Version == o.machine.desired, "a version is unloaded that the engine does not hold")
				require.False(s.t, holdsIt && e.Version == o.machine.desired, "the desired version is unloaded")
				require.Zero(s.t, o.machine.oldStreams, "a version with running streams is unloaded")
			}
			o.queue = append(o.queue, e)
		case AcquireLoadSlot:
			require.False(s.t, o.hasSlot || o.requestsSlot, "a second slot is requested")
			o.requestsSlot = true
		case ReleaseLoadSlot:
			require.True(s.t, o.hasSlot, "a slot is released that was not held")
			o.hasSlot = false
		case SwitchVersion:
			s.activeVersion = e.Version
		}
	}
}

// own lets a host own the target, or renew its lease, unless another host's lease is valid.
func (s *simulation) own(i int) {
	if s.holder != i && s.now.Before(s.leaseExpiresAt) {
		return
	}
	if s.holder != i || !s.now.Before(s.leaseExpiresAt) {
		s.fence++
		s.holder = i
		s.owners[i].epoch++
		s.owners[i].stateCurrent = false
	}
	s.leaseExpiresAt = s.now.Add(leaseTTL)
	s.perform(s.owners[i], s.owners[i].machine.SetOwnership(s.fence, s.leaseExpiresAt, s.now))
}

// send sends the queued orders that are not late. A call stands for an executor that may
// have been paused since the orders were queued.
func (s *simulation) send(o *owner, delay time.Duration) {
	for _, order := range o.queue {
		if s.now.Before(order.NotAfter) {
			s.network = append(s.network, sentOrder{order: order, arrivesBy: s.now.Add(min(delay, order.Timeout))})
		}
	}
	o.queue = nil
}

// deliver applies orders in flight. If the engine ignores fences, each order takes effect
// within its timeout. Otherwise an order may arrive at any time, and remains in flight
// unless all is set.
func (s *simulation) deliver(all bool) {
	inFlight := []sentOrder{}
	for _, sent := range s.network {
		if s.now.Before(sent.arrivesBy) || (s.checksFences && !all) {
			inFlight = append(inFlight, sent)
			continue
		}
		s.apply(sent.order)
	}
	s.network = inFlight
}

func (s *simulation) apply(order SendOrder) {
	if s.checksFences && order.Fence < s.highestFence {
		return
	}
	require.GreaterOrEqual(s.t, order.Fence, s.highestFence, "an old order takes effect after a newer one")
	s.highestFence = order.Fence
	if !s.checksFences {
		require.Equal(s.t, s.fence, order.Fence, "an order takes effect after a successor has become the owner")
	}
	if order.Kind == Unload {
		delete(s.readyAt, order.Version)
		return
	}
	if _, known := s.readyAt[order.Version]; !known {
		s.readyAt[order.Version] = s.now.Add(loadTime)
	}
	require.True(s.t, s.holdsTwo || len(s.readyAt) == 1 || s.starts > 1, "the engine holds more versions than it can")
}

// respond responds to the pending reads of an owner.
func (s *simulation) respond(o *owner) {
	for _, read := range o.reads {
		o.stateCurrent = o.stateCurrent || read.epoch == o.epoch
		state := StateResponse{ID: read.id, OK: true, Incarnation: core.Incarnation(rune('0' + s.starts)), Fence: s.highestFence}
		for _, version := range versions {
			if ready, known := s.readyAt[version]; known {
				state.Versions = append(state.Versions, LoadedVersion{Version: version, Ready: !s.now.Before(ready)})
			}
		}
		o.holds = state.Versions
		s.perform(o, o.machine.HandleState(state, s.now))
	}
	o.reads = nil
}

// grant answers an owner's request for the slot.
func (s *simulation) grant(o *owner) {
	if !o.requestsSlot {
		return
	}
	o.requestsSlot = false
	free := !slices.ContainsFunc(s.owners, func(other *owner) bool { return other.hasSlot })
	o.hasSlot = free
	s.perform(o, o.machine.HandleLoadSlot(free, s.now))
}

func (s *simulation) advance(by time.Duration) {
	for end := s.now.Add(by); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		s.deliver(false)
	}
}

// step ticks an owner and answers everything that it waits for.
func (s *simulation) step(o *owner, delay time.Duration) {
	s.perform(o, o.machine.Tick(s.now))
	s.respond(o)
	s.grant(o)
	s.send(o, delay)
	s.advance(time.Second)
}
