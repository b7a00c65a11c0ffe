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

// testClock is set by hand, and moves on by itself too, so that waits end.
type testClock struct {
	mu     sync.Mutex
	offset time.Duration
	start  time.Time
}

func newTestClock() *testClock { return &testClock{start: time.Now(), offset: time.Hour} }

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

// network carries messages between loops in order, and loses those of cut hosts.
type network struct {
	mu    sync.Mutex
	loops map[core.HostID]*Loop
	cut   map[core.HostID]bool
	lines map[[2]core.HostID]chan message.Message
}

// line returns the queue from one host to another.
func (n *network) line(from, to core.HostID) chan message.Message {
	key := [2]core.HostID{from, to}
	if n.lines[key] == nil {
		line, loop := make(chan message.Message, 1000), n.loops[to]
		n.lines[key] = line
		go func() {
			for m := range line {
				loop.HandleMessage(from, m)
			}
		}()
	}
	return n.lines[key]
}

func (n *network) send(from core.HostID) func(core.HostID, message.Message) bool {
	return func(to core.HostID, m message.Message) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.loops[to] == nil {
			return false
		}
		if !n.cut[from] && !n.cut[to] {
			n.line(from, to) <- m
		}
		return true
	}
}

func (n *network) setCut(id core.HostID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

func host(id string) core.Host {
	return core.Host{ID: core.HostID(id), DataCentre: "a", Capacity: 1 / float64(len(id))}
}

// startLoops runs loops of hosts that are linked with each other.
func startLoops(t *testing.T, ids ...string) (*network, *testClock) {
	clock, net := newTestClock(), &network{loops: map[core.HostID]*Loop{}, cut: map[core.HostID]bool{}, lines: map[[2]core.HostID]chan message.Message{}}
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
		for _, line := range net.lines {
			close(line)
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

// learn gives a host what a read of the store would tell.
func learn(loop *Loop, clock *testClock, config *core.RoutingConfig, all []core.Registration) {
	loop.HandleUpdate(Update{
		SentAt: clock.now(), Config: config, CoversConfig: true, CoversRegistry: true, Registrations: all, FullRegistry: all != nil,
		Evacuated: map[core.DataCentreID]bool{},
	})
}

// startReader has a host read the store, with the same result, until it is stopped.
func startReader(t *testing.T, loop *Loop, clock *testClock) (stop func()) {
	end, ended, once := make(chan struct{}), make(chan struct{}), sync.Once{}
	learn(loop, clock, engineConfig(3), engines(4))
	go func() {
		defer close(ended)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				learn(loop, clock, nil, nil)
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

// A reader that took the first view before the loop ran must hear of the next one.
func TestFirstViewTellsOfTheNext(t *testing.T) {
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
		t.Error("the first view was replaced without a word")
	}
	stop()
	<-done
}

// One host reads the store; the others learn all from it, with a proof that is not
// younger than that of the reader.
func TestHostsLearnFromTheirHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	hub, asker := net.loops["h"], net.loops["hosts"]
	stop := startReader(t, hub, clock)
	eventually(t, "learnt", func() bool {
		view := asker.View()
		return view.Table != nil && len(view.Targets) == 4 && !view.ReadsStore
	})
	learn(hub, clock, engineConfig(9), nil)
	eventually(t, "newer revision", func() bool { return asker.View().Table.Config.Revision == 9 })
	learn(hub, clock, engineConfig(4), nil)
	hub.HandleUpdate(Update{SentAt: clock.now(), Removed: []core.TargetID{"e0"}})
	eventually(t, "target gone", func() bool { return !asker.View().Usable("e0") })
	require.Equal(t, core.Revision(9), asker.View().Table.Config.Revision, "a version went back")

	stop() // the hub's knowledge grows old, and the asker's with it
	last := clock.now()
	eventually(t, "reads by itself", func() bool {
		age, _ := asker.View().ConfigProof.Age(clock.now())
		require.GreaterOrEqual(t, age, clock.now()-last-time.Millisecond)
		return age > 1300*time.Millisecond && asker.View().ReadsStore
	})
}

// A host whose hub is silent reads the store by itself, and asks its hub again later.
func TestSilentHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	asker := net.loops["host"]
	startReader(t, net.loops["h"], clock)
	eventually(t, "learnt", func() bool { return asker.View().Table != nil && !asker.View().ReadsStore })
	net.setCut("h", true)
	eventually(t, "reads by itself", func() bool { return asker.View().ReadsStore })
	net.setCut("h", false)
	learn(net.loops["h"], clock, engineConfig(5), nil)
	eventually(t, "learns from the hub again", func() bool {
		return asker.View().Table.Config.Revision == 5 && !asker.View().ReadsStore
	})
}

// A host that knows nothing does not take from others what they know.
func TestHubThatKnowsNothing(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	startReader(t, net.loops["host"], clock)
	eventually(t, "knows", func() bool { return len(net.loops["host"].View().Targets) == 4 })
	end := clock.now() + 2*time.Second
	eventually(t, "goes on knowing", func() bool {
		require.Len(t, net.loops["host"].View().Targets, 4)
		return clock.now() > end
	})
}

// A hub that cannot read the store learns from one of its askers.
func TestHubWithoutTheStore(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "learnt", func() bool { return len(net.loops["host"].View().Targets) == 4 })
	stop()
	startReader(t, net.loops["host"], clock)
	startReader(t, net.loops["hosts"], clock)
	end := clock.now() + 3*time.Second
	eventually(t, "stays informed", func() bool {
		age, _ := net.loops["h"].View().ConfigProof.Age(clock.now())
		require.Less(t, age, 2500*time.Millisecond)
		return clock.now() > end
	})
}

// Two hosts that place through their hub spread generations over the engines as one.
func TestPlacementsOfAllHostsCount(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	startReader(t, net.loops["h"], clock)
	for _, loop := range net.loops {
		eventually(t, "learnt", func() bool { return len(loop.View().Targets) == 4 })
	}
	for _, id := range []core.HostID{"host", "hosts"} {
		eventually(t, "has a hub", func() bool { return !net.loops[id].View().ReadsStore })
	}
	counts := map[core.TargetID]int{}
	for i := range 16 {
		loop := net.loops[[]core.HostID{"host", "hosts"}[i%2]]
		use, ok := loop.Place(context.Background(), PlacementRequest{Pool: "llm", Request: placement.Request{ID: fmt.Sprint(i), Memory: 3000, Prompt: 3000}})
		require.True(t, ok)
		loop.MarkStarted(use)
		counts[use.Target.Target]++
	}
	for id, count := range counts {
		require.Equal(t, 4, count, "of 16 at %s", id)
	}
}

// A hub that does not answer costs a placement a short wait only.
func TestPlacementWithoutTheHub(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	asker := net.loops["host"]
	startReader(t, net.loops["h"], clock)
	eventually(t, "learnt", func() bool { return len(asker.View().Targets) == 4 && !asker.View().ReadsStore })
	net.setCut("h", true)
	_, ok := asker.Place(context.Background(), PlacementRequest{Pool: "llm", Request: placement.Request{ID: "r", Memory: 3000}})
	require.True(t, ok)
	_, ok = asker.Place(context.Background(), PlacementRequest{Pool: "nothing", Request: placement.Request{ID: "r"}})
	require.False(t, ok)
}

// All hosts together stay under the bound on second sends, and one host that needs them
// all gets most of them.
func TestSecondSendsAreShared(t *testing.T) {
	for name, askers := range map[string][]core.HostID{"one host": {"host"}, "the first host": {"h"}, "all hosts": {"h", "host", "hosts"}} {
		t.Run(name, func(t *testing.T) {
			net, clock := startLoops(t, "h", "host", "hosts")
			startReader(t, net.loops["h"], clock)
			eventually(t, "runs", func() bool { return net.loops["h"].View().Table != nil })
			clock.advance(11 * time.Second) // nothing that was granted before a restart counts any more
			for _, id := range askers {
				eventually(t, "knows engines", func() bool { return len(net.loops[id].View().Targets) == 4 })
				eventually(t, "has a hub", func() bool { return id == "h" || !net.loops[id].View().ReadsStore })
			}
			granted := 0
			for i := range 100 {
				loop := net.loops[askers[i%len(askers)]]
				need := placement.Request{ID: fmt.Sprint(i), Memory: 100}
				if _, ok := loop.Place(context.Background(), PlacementRequest{Pool: "llm", Request: need, Retry: true}); ok {
					granted++
				}
			}
			require.LessOrEqual(t, granted, 50)
			require.GreaterOrEqual(t, granted, 25)
		})
	}
}

// A host that lost the store, and has learnt from its hub since, believes its hub at once
// that a target is gone: it is the hub that waits for targets to come back.
func TestRemovalAfterTheStoreWasLost(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	startReader(t, net.loops["h"], clock)
	asker := net.loops["host"]
	eventually(t, "learnt", func() bool { return len(asker.View().Targets) == 4 && !asker.View().ReadsStore })
	asker.HandleStoreStatus(false)
	net.loops["h"].HandleUpdate(Update{SentAt: clock.now(), Removed: []core.TargetID{"e0"}})
	eventually(t, "target gone", func() bool { return !asker.View().Usable("e0") })
}

// A hub that holds targets back from being gone, after an outage, does not vouch for its
// knowledge, so that hosts that saw no outage are not kept from the news.
func TestHubAfterAnOutageDoesNotVouch(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	startReader(t, net.loops["h"], clock)
	asker := net.loops["host"]
	eventually(t, "learnt", func() bool { return len(asker.View().Targets) == 4 && !asker.View().ReadsStore })
	net.loops["h"].HandleStoreStatus(false)
	net.loops["h"].HandleStoreStatus(true)
	eventually(t, "reads by itself", func() bool { return asker.View().ReadsStore })
	eventually(t, "learns again", func() bool { return !asker.View().ReadsStore })
}

// When the hub of all is cut off from the store, it hears from another host before its
// knowledge is two seconds old, though that host relied on it until then.
func TestHubThatIsCutOffIsInformedSoon(t *testing.T) {
	net, clock := startLoops(t, "h", "host")
	stop := startReader(t, net.loops["h"], clock)
	eventually(t, "learnt", func() bool { return len(net.loops["host"].View().Targets) == 4 && !net.loops["host"].View().ReadsStore })
	stop()
	net.loops["h"].HandleStoreStatus(false)
	end := clock.now() + 4*time.Second
	eventually(t, "stays informed", func() bool {
		if net.loops["host"].View().ReadsStore {
			learn(net.loops["host"], clock, nil, nil)
		}
		age, _ := net.loops["h"].View().ConfigProof.Age(clock.now())
		require.Less(t, age, 2*time.Second)
		return clock.now() > end
	})
}

// One host alone sends too little to a target to see soon that it fails.
func TestHostsTellEachOtherOfFailingTargets(t *testing.T) {
	net, clock := startLoops(t, "h", "host", "hosts")
	startReader(t, net.loops["h"], clock)
	config := engineConfig(4)
	config.Pools = append(config.Pools, core.PoolSpec{ID: "web"})
	learn(net.loops["h"], clock, config, []core.Registration{
		{Target: "near", Pool: "web", DataCentre: "a", Address: "127.0.0.1:1", Slots: 6, Revision: 9},
		{Target: "far", Pool: "web", DataCentre: "b", Address: "127.0.0.1:2", Slots: 6, Revision: 10},
	})
	for _, id := range []core.HostID{"host", "hosts"} {
		eventually(t, "learnt", func() bool {
			return len(net.loops[id].View().Targets) == 2 && !net.loops[id].View().ReadsStore
		})
	}
	send := func(id core.HostID, outcome placement.Outcome) core.TargetID {
		use, ok := net.loops[id].Place(context.Background(), PlacementRequest{Pool: "web"})
		require.True(t, ok)
		net.loops[id].Release(use, outcome)
		return use.Target.Target
	}
	require.Equal(t, core.TargetID("near"), send("hosts", placement.Inconclusive))
	eventually(t, "the third host avoids what fails at the second", func() bool {
		send("host", placement.Failed)
		return send("hosts", placement.Inconclusive) == "far"
	})
}
