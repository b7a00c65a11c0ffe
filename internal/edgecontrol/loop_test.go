package edgecontrol

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/retrybudget"
	"siskintide.example/siskintide/internal/message"
)

const stepTimeout = 10 * time.Second // bounds each wait; it is no assertion on speed

// testClock runs in real time and can also be advanced by hand.
type testClock struct {
	mu     sync.Mutex
	offset time.Duration
	start  time.Time
	// revision is the store's revision. It starts after the entries of engines.
	revision uint64
}

func newTestClock() *testClock { return &testClock{start: time.Now(), offset: time.Hour, revision: 10} }

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

func (c *testClock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset + time.Since(c.start)
}

// network delivers messages between loops in order and drops those of disconnected hosts.
type network struct {
	mu           sync.Mutex
	loops        map[core.HostID]*Loop
	disconnected map[core.HostID]bool
	queues       map[[2]core.HostID]chan message.Message // from the first host to the second
}

// queue returns the queue from one host to another, creating it on first use.
func (n *network) queue(from, to core.HostID) chan message.Message {
	key := [2]core.HostID{from, to}
	if n.queues[key] == nil {
		queue, loop := make(chan message.Message, 1000), n.loops[to]
		n.queues[key] = queue
		go func() {
			for m := range queue {
				loop.HandleMessage(from, m)
			}
		}()
	}
	return n.queues[key]
}

func (n *network) send(from core.HostID) func(core.HostID, message.Message) bool {
	return func(to core.HostID, m message.Message) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.loops[to] == nil {
			return false
		}
		if !n.disconnected[from] && !n.disconnected[to] {
			n.queue(from, to) <- m
		}
		return true
	}
}

func (n *network) setDisconnected(id core.HostID, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[id] = disconnected
}

func host(id string) core.Host {
	return core.Host{ID: core.HostID(id), DataCentre: "a", Capacity: 1 / float64(len(id))}
}

// startLoops runs loops of hosts that are linked with each other.
func startLoops(t *testing.T, ids ...string) (*network, *testClock) {
	clock, net := newTestClock(), &network{loops: map[core.HostID]*Loop{}, disconnected: map[core.HostID]bool{}, queues: map[[2]core.HostID]chan message.Message{}}
	var hosts []core.Host
	for _, id := range ids {
		hosts = append(hosts, host(id))
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		running.Wait()
		net.mu.Lock()
		defer net.mu.Unlock()
		for _, queue := range net.queues {
			close(queue)
		}
	})
	for _, h := range hosts {
		loop := NewLoop(Options{
			Self: h, RetryBudget: retrybudget.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, Clock: clock.now,
			Log: &log.Logger{Handler: discard.New()}, Send: net.send(h.ID), SetPeers: func([]core.Host) {},
		})
		net.mu.Lock()
		net.loops[h.ID] = loop
		net.mu.Unlock()
		running.Go(func() { loop.Run(ctx) })
	}
	for _, loop := range net.loops {
		loop.HandleUpdate(Update{Hosts: hosts})
		for _, h := range hosts {
			loop.HandleLink(h.ID, true)
		}
	}
	return net, clock
}

func engineConfig(revision core.Revision) *core.RoutingConfig {
	return &core.RoutingConfig{Revision: revision, Pools: []core.PoolSpec{{ID: "llm", Engine: &core.EngineSpec{MemoryTokens: 30_000, Copies: true}}}}
}

func engines(count int) []core.Registration {
	var all []core.Registration
	for i := range count {
		all = append(all, core.Registration{
			Target: core.TargetID(fmt.Sprintf("e%d", i)), Pool: "llm", DataCentre: "a", Address: "127.0.0.1:1", Slots: 8, Revision: uint64(i + 1),
		})
	}
	return all
}

// storeRevision returns the revision of the store after it has got the entries.
func (c *testClock) storeRevision(all []core.Registration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, registration := range all {
		c.revision = max(c.revision, registration.Revision)
	}
	return c.revision
}

// applyRemoval applies a read of the store in which a target's entry was removed.
func applyRemoval(loop *Loop, clock *testClock, target core.TargetID) {
	clock.mu.Lock()
	clock.revision++
	revision := clock.revision
	clock.mu.Unlock()
	loop.HandleUpdate(Update{SentAt: clock.now(), Removed: []core.Removal{{Target: target, Revision: revision}}, CoversRegistry: true, RegistryRevision: revision})
}

// applyRead applies the result of a read of the store to a host.
func applyRead(loop *Loop, clock *testClock, config *core.RoutingConfig, all []core.Registration) {
	revision := clock.storeRevision(all)
	loop.HandleUpdate(Update{
		SentAt: clock.now(), Config: config, CoversConfig: true, CoversRegistry: true, Registrations: all, FullRegistry: all != nil,
		Evacuated: map[core.DataCentreID]bool{}, ConfigRevision: revision, RegistryRevision: revision,
	})
}

// startReader makes a host read the store every 50 ms, always with the same result, until
// the returned function is called.
func startReader(t *testing.T, loop *Loop, clock *testClock) (stop func()) {
	end, ended, once := make(chan struct{}), make(chan struct{}), sync.Once{}
	applyRead(loop, clock, engineConfig(3), engines(4))
	go func() {
		defer close(ended)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				applyRead(loop, clock, nil, nil)
			case <-end:
				return
			}
		}
	}()
	stop = func() { once.Do(func() { close(end) }); <-ended }
	t.Cleanup(stop)
	return stop
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, stepTimeout, 5*time.Millisecond, what)
}

// The first view is stored by NewLoop and replaced by Run. Its Changed channel must be
// closed too, or a reader that loaded it before Run waits forever.
func TestFirstViewChangedIsClosed(t *testing.T) {
	clock := newTestClock()
	loop := NewLoop(Options{Self: host("h"), Clock: clock.now, Log: &log.Logger{Handler: discard.New()},
		Send: func(core.HostID, message.Message) bool { return false }, SetPeers: func([]core.Host) {}})
	before := loop.View()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); loop.Run(ctx) }()
	select {
	case <-before.Changed:
	case <-time.After(stepTimeout):
		t.Error("the first view was replaced and its Changed channel was not closed")
	}
	stop()
	<-done
}

// One host reads the store and the others get its state, since it is their hub. The age that a
// subscriber derives for that state must never be less than the real age.
func TestSubscribersFollowTheirHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	hub, subscriber := net.loops["h"], net.loops["hosts"]
	stop := startReader(t, hub, clock)
	eventually(t, "state received", func() bool {
		view := subscriber.View()
		return view.Table != nil && len(view.Targets) == 4 && !view.ReadsStore
	})
	applyRead(hub, clock, engineConfig(9), nil)
	eventually(t, "newer revision", func() bool { return subscriber.View().Table.Config.Revision == 9 })
	applyRead(hub, clock, engineConfig(4), nil)
	applyRemoval(hub, clock, "e0")
	eventually(t, "target gone", func() bool { return !subscriber.View().Usable("e0") })
	require.Equal(t, core.Revision(9), subscriber.View().Table.Config.Revision, "the revision went back")

	stop() // the hub's state ages, and so does the subscriber's
	last := clock.now()
	eventually(t, "reads the store itself", func() bool {
		age, _ := subscriber.View().ConfigProof.Age(clock.now())
		require.GreaterOrEqual(t, age, clock.now()-last-time.Millisecond)
		return age > 1300*time.Millisecond && subscriber.View().ReadsStore
	})
}

// A host whose hub does not respond reads the store itself and returns to the hub later.
func TestSilentHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	subscriber := net.loops["host"]
	startReader(t, net.loops["h"], clock)
	eventually(t, "state received", func() bool { return subscriber.View().Table != nil && !subscriber.View().ReadsStore })
	net.setDisconnected("h", true)
	eventually(t, "reads the store itself", func() bool { return subscriber.View().ReadsStore })
	net.setDisconnected("h", false)
	applyRead(net.loops["h"], clock, engineConfig(5), nil)
	eventually(t, "follows the hub again", func() bool {
		return subscriber.View().Table.Config.Revision == 5 && !subscriber.View().ReadsStore
	})
}

// A hub without any state must not overwrite the state of its subscribers.
func TestEmptyHubKeepsSubscriberState(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	startReader(t, net.loops["host"], clock)
	eventually(t, "state read", func() bool { return len(net.loops["host"].View().Targets) == 4 })
	end := clock.now() + 2*time.Second
	eventually(t, "keeps its state", func() bool {
		require.Len(t, net.loops["host"].View().Targets, 4)
		return clock.now() > end
	})
}

// A hub that cannot read the store gets its state from one of its subscribers.
func TestHubWithoutTheStore(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "state received", func() bool { return len(net.loops["host"].View().Targets) == 4 })
	stop()
	startReader(t, net.loops["host"], clock)
	startReader(t, net.loops["hosts"], clock)
	end := clock.now() + 3*time.Second
	eventually(t, "state stays fresh", func() bool {
		age, _ := net.loops["h"].View().ConfigProof.Age(clock.now())
		require.Less(t, age, 2500*time.Millisecond)
		return clock.now() > end
	})
}

// Two hosts that request placements from the same hub spread generations over the engines
// as evenly as one host would.
func TestHubSpreadsPlacementsOfAllHosts(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	startReader(t, net.loops["h"], clock)
	for _, loop := range net.loops {
		eventually(t, "state received", func() bool { return len(loop.View().Targets) == 4 })
	}
	for _, id := range []core.HostID{"host", "hosts"} {
		eventually(t, "follows the hub", func() bool { return !net.loops[id].View().ReadsStore })
	}
	counts := map[core.TargetID]int{}
	for i := range 16 {
		loop := net.loops[[]core.HostID{"host", "hosts"}[i%2]]
		assignment, ok := loop.Place(context.Background(), PlacementRequest{Pool: "llm", Request: placement.Request{ID: fmt.Sprint(i), Memory: 3000, Prompt: 3000}})
		require.True(t, ok)
		loop.MarkStarted(assignment)
		counts[assignment.Target.Target]++
	}
	for id, count := range counts {
		require.Equal(t, 4, count, "of 16 at %s", id)
	}
}

// A hub that does not respond delays a placement by placeTimeout only.
func TestPlacementWithoutTheHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	subscriber := net.loops["host"]
	startReader(t, net.loops["h"], clock)
	eventually(t, "state received", func() bool { return len(subscriber.View().Targets) == 4 && !subscriber.View().ReadsStore })
	net.setDisconnected("h", true)
	_, ok := subscriber.Place(context.Background(), PlacementRequest{Pool: "llm", Request: placement.Request{ID: "r", Memory: 3000}})
	require.True(t, ok)
	_, ok = subscriber.Place(context.Background(), PlacementRequest{Pool: "nothing", Request: placement.Request{ID: "r"}})
	require.False(t, ok)
}

// All hosts together stay within the retry budget, and a single host that retries gets
// more than its even share of it.
func TestRetryBudgetIsShared(t *testing.T) {
	for name, senders := range map[string][]core.HostID{"one host": {"host"}, "the first host": {"h"}, "all hosts": {"h", "host", "hosts"}} {
		t.Run(name, func(t *testing.T) {
			net, clock := startLoops(t, "h", "host", "hosts")
			startReader(t, net.loops["h"], clock)
			eventually(t, "configuration read", func() bool { return net.loops["h"].View().Table != nil })
			clock.advance(11 * time.Second) // the first host grants nothing during its first window of 10 s
			for _, id := range senders {
				eventually(t, "engines known", func() bool { return len(net.loops[id].View().Targets) == 4 })
				eventually(t, "follows the hub", func() bool { return id == "h" || !net.loops[id].View().ReadsStore })
			}
			granted := 0
			for i := range 100 {
				loop := net.loops[senders[i%len(senders)]]
				request := placement.Request{ID: fmt.Sprint(i), Memory: 100}
				if _, ok := loop.Place(context.Background(), PlacementRequest{Pool: "llm", Request: request, Retry: true}); ok {
					granted++
				}
			}
			require.LessOrEqual(t, granted, 50)
			require.GreaterOrEqual(t, granted, 25)
		})
	}
}

// While the store is away no hub has recent data, and generations leave engines all the same. The
// first of all hosts must still grant their switches.
func TestRetriesAreGrantedWithoutTheStore(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "engines known", func() bool { return len(net.loops["hosts"].View().Targets) == 4 })
	stop()
	clock.advance(11 * time.Second)
	eventually(t, "no hub has recent data", func() bool { return net.loops["hosts"].View().ReadsStore })
	granted := 0
	for i := range 60 {
		request := placement.Request{ID: fmt.Sprint(i), Memory: 100}
		if _, ok := net.loops["hosts"].Place(context.Background(), PlacementRequest{Pool: "llm", Request: request, Retry: true}); ok {
			granted++
		}
	}
	require.LessOrEqual(t, granted, 50)
	require.GreaterOrEqual(t, granted, 25)
}

// After an outage of the store a host keeps removed targets for a while, in case they
// register again. Removals that come from its hub must take effect at once even then,
// because the hub has already waited.
func TestRemovalAfterTheStoreWasLost(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	startReader(t, net.loops["h"], clock)
	subscriber := net.loops["host"]
	eventually(t, "state received", func() bool { return len(subscriber.View().Targets) == 4 && !subscriber.View().ReadsStore })
	subscriber.HandleStoreStatus(false, 0)
	applyRemoval(net.loops["h"], clock, "e0")
	eventually(t, "target gone", func() bool { return !subscriber.View().Usable("e0") })
}

// When the common hub is cut off from the store, it must get fresh state from a former
// subscriber before its own state is two seconds old.
func TestCutOffHubGetsFreshState(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "state received", func() bool { return len(net.loops["host"].View().Targets) == 4 && !net.loops["host"].View().ReadsStore })
	stop()
	net.loops["h"].HandleStoreStatus(false, 0)
	end := clock.now() + 4*time.Second
	eventually(t, "state stays fresh", func() bool {
		if net.loops["host"].View().ReadsStore {
			applyRead(net.loops["host"], clock, nil, nil)
		}
		age, _ := net.loops["h"].View().ConfigProof.Age(clock.now())
		require.Less(t, age, 2*time.Second)
		return clock.now() > end
	})
}

// One host alone sends too few requests to a target to detect soon that it fails, so hosts
// share outcomes through the hub.
func TestHostsShareFailureRates(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	startReader(t, net.loops["h"], clock)
	config := engineConfig(4)
	config.Pools = append(config.Pools, core.PoolSpec{ID: "web"})
	applyRead(net.loops["h"], clock, config, []core.Registration{
		{Target: "near", Pool: "web", DataCentre: "a", Address: "127.0.0.1:1", Slots: 6, Revision: 11},
		{Target: "far", Pool: "web", DataCentre: "b", Address: "127.0.0.1:2", Slots: 6, Revision: 12},
	})
	for _, id := range []core.HostID{"host", "hosts"} {
		eventually(t, "state received", func() bool {
			return len(net.loops[id].View().Targets) == 2 && !net.loops[id].View().ReadsStore
		})
	}
	send := func(id core.HostID, outcome placement.Outcome) core.TargetID {
		assignment, ok := net.loops[id].Place(context.Background(), PlacementRequest{Pool: "web"})
		require.True(t, ok)
		net.loops[id].Release(assignment, outcome)
		return assignment.Target.Target
	}
	require.Equal(t, core.TargetID("near"), send("hosts", placement.Inconclusive))
	eventually(t, "one host avoids a target that fails at another", func() bool {
		send("host", placement.Failed)
		return send("hosts", placement.Inconclusive) == "far"
	})
}
