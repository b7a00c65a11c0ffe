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
	loadTakes = 5 * time.Second
	hostCount = 2
)

var versions = []Version{{"m", "1"}, {"m", "2"}, {"m", "3"}}

// sent is an order on its way to the engine.
type sent struct {
	order SendOrder
	late  time.Time // the engine takes it by then
}

// asked is a read of the state on its way.
type asked struct {
	id    uint64
	epoch int
}

// owner is one host that may own the target.
type owner struct {
	machine *Machine
	queue   []SendOrder // emitted, not yet sent
	read    []asked     // answers not yet given
	epoch   int         // grows with each order and each new ownership
	current bool        // a read that was asked in this epoch has been answered
	asking  bool
	slot    bool
}

// world is one engine, its possible owners and a budget of one slot.
type world struct {
	t        *rapid.T
	now      time.Time
	fences   bool // the engine refuses old fences
	beside   bool
	highest  core.Fence
	held     map[Version]time.Time // when each version is ready
	starts   int
	network  []sent
	owners   []*owner
	holder   int
	fence    core.Fence
	until    time.Time
	switched Version
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), until: time.Unix(1000, 0), holder: -1, fences: rapid.Bool().Draw(t, "fences"), beside: rapid.Bool().Draw(t, "beside")}
	w.start()
	for range hostCount {
		o := &owner{machine: New(DefaultTiming())}
		o.machine.SetDesired(versions[0], w.beside, w.now)
		w.owners = append(w.owners, o)
	}
	return w
}

// start is a fresh start of the engine with its built-in version.
func (w *world) start() {
	w.starts++
	w.highest = 0
	w.held = map[Version]time.Time{versions[0]: w.now}
}

func (w *world) collect(o *owner, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ReadState:
			o.read = append(o.read, asked{id: e.ID, epoch: o.epoch})
		case SendOrder:
			require.True(w.t, o.current, "an order is based on a state that was read before the last one")
			o.epoch++
			o.current = false
			if e.Kind == Unload {
				require.NotEqual(w.t, o.machine.wanted, e.Version, "the wanted version is unloaded")
				require.Zero(w.t, o.machine.old, "a version with running streams is unloaded")
			}
			o.queue = append(o.queue, e)
		case AcquireLoadSlot:
			require.False(w.t, o.slot || o.asking, "a second slot is taken")
			o.asking = true
		case ReleaseLoadSlot:
			require.True(w.t, o.slot, "a slot is given back that was not held")
			o.slot = false
		case SwitchVersion:
			w.switched = e.Version
		}
	}
}

// take lets a host own the target once the old lease has ended.
func (w *world) take(i int) {
	if w.holder != i && w.now.Before(w.until) {
		return
	}
	if w.holder != i || !w.now.Before(w.until) {
		w.fence++
		w.holder = i
		w.owners[i].epoch++
		w.owners[i].current = false
	}
	w.until = w.now.Add(leaseTTL)
	w.collect(w.owners[i], w.owners[i].machine.SetOwnership(w.fence, w.until, w.now))
}

// send takes emitted orders to the network, as an executor that may have been paused does.
func (w *world) send(o *owner, delay time.Duration) {
	for _, order := range o.queue {
		if w.now.Before(order.NotAfter) {
			w.network = append(w.network, sent{order: order, late: w.now.Add(min(delay, order.Timeout))})
		}
	}
	o.queue = nil
}

// arrive lets orders take effect. Without fences each is over by its timeout; with fences
// it may come at any time.
func (w *world) arrive(all bool) {
	left := []sent{}
	for _, s := range w.network {
		if w.now.Before(s.late) || (w.fences && !all) {
			left = append(left, s)
			continue
		}
		w.apply(s.order)
	}
	w.network = left
}

func (w *world) apply(order SendOrder) {
	if w.fences && order.Fence < w.highest {
		return
	}
	require.GreaterOrEqual(w.t, order.Fence, w.highest, "an old order comes after a newer one")
	w.highest = order.Fence
	if !w.fences {
		require.Equal(w.t, w.fence, order.Fence, "an order takes effect after a successor took over")
	}
	if order.Kind == Unload {
		delete(w.held, order.Version)
		return
	}
	if _, known := w.held[order.Version]; !known {
		w.held[order.Version] = w.now.Add(loadTakes)
	}
	require.True(w.t, w.beside || len(w.held) == 1 || w.starts > 1, "an engine holds more than it can")
}

func (w *world) answer(o *owner) {
	for _, read := range o.read {
		o.current = o.current || read.epoch == o.epoch
		state := StateResponse{ID: read.id, OK: true, Incarnation: core.Incarnation(rune('0' + w.starts))}
		for _, version := range versions {
			if ready, known := w.held[version]; known {
				state.Versions = append(state.Versions, LoadedVersion{Version: version, Ready: !w.now.Before(ready)})
			}
		}
		w.collect(o, o.machine.HandleState(state, w.now))
	}
	o.read = nil
}

func (w *world) grant(o *owner) {
	if !o.asking {
		return
	}
	o.asking = false
	free := !slices.ContainsFunc(w.owners, func(other *owner) bool { return other.slot })
	o.slot = free
	w.collect(o, o.machine.HandleLoadSlot(free, w.now))
}

func (w *world) advance(by time.Duration) {
	for end := w.now.Add(by); w.now.Before(end); {
		w.now = w.now.Add(500 * time.Millisecond)
		w.arrive(false)
	}
}

// work lets an owner go on with all that it waits for.
func (w *world) work(o *owner, delay time.Duration) {
	w.collect(o, o.machine.Tick(w.now))
	w.answer(o)
	w.grant(o)
	w.send(o, delay)
	w.advance(time.Second)
}
