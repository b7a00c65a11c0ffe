package edgecontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

const callRate = 2.0 // named by each target, per second

// startCallPool makes the first host read a pool of plain targets, and the others follow it.
func startCallPool(t *testing.T, targets int, ids ...string) (*network, *testClock) {
	net, clock := startLoops(t, ids...)
	all := engines(targets)
	for i := range all {
		all[i].Pool = "web"
	}
	hub := net.loops[core.HostID(ids[0])]
	applyRead(hub, clock, &core.RoutingConfig{Revision: 3, Pools: []core.PoolSpec{{ID: "web"}}}, all)
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-time.After(50 * time.Millisecond):
				applyRead(hub, clock, nil, nil)
			case <-end:
				return
			}
		}
	}()
	t.Cleanup(func() { close(end); <-ended })
	for _, id := range ids[1:] {
		loop := net.loops[core.HostID(id)]
		eventually(t, "follows the hub", func() bool { return loop.View().Table != nil && !loop.View().ReadsStore })
	}
	return net, clock
}

// nameLimits reports to one host that all targets have named the rate.
func nameLimits(loop *Loop, clock *testClock, targets int) {
	rate := callRate
	for i := range targets {
		loop.RecordRateLimit(core.TargetID(fmt.Sprintf("e%d", i)), &rate, false, clock.now())
	}
}

func limitsKnown(net *network, targets int) func() bool {
	return func() bool {
		for _, loop := range net.loops {
			if len(loop.View().LimitedTargets) != targets {
				return false
			}
		}
		return true
	}
}

// placeCalls requests targets at all hosts for a while, and returns how many were assigned.
func placeCalls(net *network, d time.Duration) (placed int) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		for _, loop := range net.loops {
			request := placement.Request{ID: fmt.Sprint(n)}
			if _, ok := loop.Place(context.Background(), PlacementRequest{Pool: "web", Request: request, TimeLeft: time.Second}); ok {
				placed++
			}
		}
		<-time.After(10 * time.Millisecond)
	}
	return placed
}

// One host hears of a limit, and all must keep it together, also a host that nobody has told by itself.
func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	const targets = 2
	net, clock := startCallPool(t, targets, "h", "host", "hosts")
	nameLimits(net.loops["hosts"], clock, targets)
	eventually(t, "limits known to all hosts", limitsKnown(net, targets))
	placed := placeCalls(net, 3*time.Second)
	require.LessOrEqual(t, placed, targets*(int(callRate*3)+4))
	require.GreaterOrEqual(t, placed, targets*int(callRate))
}

// A hub that falls silent leaves its subscribers without permits for a moment, and then with a share each.
func TestHostsWithoutAHubKeepTheLimit(t *testing.T) {
	const targets = 2
	net, clock := startCallPool(t, targets, "h", "host", "hosts")
	nameLimits(net.loops["h"], clock, targets)
	eventually(t, "limits known to all hosts", limitsKnown(net, targets))
	for id := range net.loops {
		net.setDisconnected(id, true)
	}
	placed := placeCalls(net, 4*time.Second)
	require.LessOrEqual(t, placed, targets*(int(1.5*callRate*4)+5))
	require.GreaterOrEqual(t, placed, targets*int(callRate), "each goes on with its share")
}

// A hub that starts again knows no limits, and gets them from its subscribers.
func TestLimitsReachTheNextHub(t *testing.T) {
	net, clock := startCallPool(t, 1, "h", "host", "hosts")
	net.setDisconnected("h", true)
	nameLimits(net.loops["hosts"], clock, 1)
	startReader(t, net.loops["host"], clock)
	eventually(t, "known to the next hub", func() bool { return net.loops["host"].View().LimitedTargets["e0"] })
}

// A target whose limit is used up must not make the request fail while another one has room.
func TestTargetWithRoomIsPreferredToALimitedOne(t *testing.T) {
	net, clock := startCallPool(t, 2, "h", "host")
	nameLimits(net.loops["host"], clock, 1)
	eventually(t, "limit known to all hosts", limitsKnown(net, 1))
	atLimited := 0
	for i := range 100 {
		request := placement.Request{ID: fmt.Sprint(i)}
		assignment, ok := net.loops["host"].Place(context.Background(), PlacementRequest{Pool: "web", Request: request})
		require.True(t, ok)
		if assignment.Target.Target == "e0" {
			atLimited++
		}
	}
	require.LessOrEqual(t, atLimited, 4)
}

// The issuer must not promise or use more than its hosts' share, and a host must count once.
func TestShareOfPermits(t *testing.T) {
	h := newHubState()
	hosts := []core.Host{host("h"), host("peer"), host("stranger"), host("further")}
	require.Zero(t, h.permitShare(), "hosts not known")
	h.setHosts(hosts)
	require.InDelta(t, 0.25, h.permitShare(), 1e-9, "alone")
	h.handleHubRequest("peer", message.HubRequest{SentAt: 1, Subscription: 1})
	h.handleHubRequest("stranger", message.HubRequest{SentAt: 1, Subscription: 1})
	require.InDelta(t, 0.75, h.permitShare(), 1e-9, "with two subscribers")
	h.hub = "further"
	require.InDelta(t, 0.5, h.permitShare(), 1e-9, "its own requests get permits from its hub")
}

// Permits are issued at any moment, also between two looks at the clock. A request that is forgotten then
// occupies its caller until the deadline.
func TestEachRequestGetsOneReply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHubState()
		h.options.Clock = func() time.Duration {
			h.clock += time.Duration(rapid.IntRange(0, 3).Draw(t, "time passes")) * time.Millisecond
			return h.clock
		}
		h.setHosts([]core.Host{host("h")})
		all := engines(2)
		for i := range all {
			all[i].Pool = "web"
		}
		h.read(&core.RoutingConfig{Revision: 3, Pools: []core.PoolSpec{{ID: "web"}}}, all)
		rate := rapid.SampledFrom([]float64{1, 10, 100}).Draw(t, "rate")
		for _, target := range all {
			rateLimitEvent{target: target.Target, rate: &rate, sentAt: h.clock}.apply(h.state)
		}
		var replies []chan Assignment
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			reply := make(chan Assignment, 2)
			replies = append(replies, reply)
			request := placement.Request{ID: fmt.Sprint(i), Avoid: []core.TargetID{"e0", "e1"}[:rapid.IntRange(0, 2).Draw(t, "avoided")]}
			h.place(PlacementRequest{Pool: "web", Request: request, MaxWait: 40 * time.Millisecond, TimeLeft: time.Second}, true, localReply{reply: reply})
			permitsDueEvent{pool: "web"}.apply(h.state)
		}
		h.clock += time.Second
		permitsDueEvent{pool: "web"}.apply(h.state)
		for i, reply := range replies {
			if len(reply) != 1 {
				t.Fatalf("request %d got %d replies", i, len(reply))
			}
		}
	})
}

// A request that waits for a permit must not be rejected once its pool has a target without a limit.
func TestWaitingRequestGoesToATargetWithoutLimit(t *testing.T) {
	h := newHubState()
	h.setHosts([]core.Host{host("h")})
	limited, free := engines(2)[0], engines(2)[1]
	limited.Pool, free.Pool, free.Revision = "web", "web", 20
	h.read(&core.RoutingConfig{Revision: 3, Pools: []core.PoolSpec{{ID: "web"}}}, []core.Registration{limited})
	rate := 10.0
	rateLimitEvent{target: limited.Target, rate: &rate, sentAt: h.clock}.apply(h.state)
	reply := make(chan Assignment, 1)
	request := PlacementRequest{Pool: "web", Request: placement.Request{ID: "r"}, MaxWait: time.Second, TimeLeft: 3 * time.Second}
	h.place(request, true, localReply{reply: reply})
	require.Empty(t, reply, "waits")
	h.read(nil, []core.Registration{limited, free})
	h.candidatesByPool = nil
	permitsDueEvent{pool: "web"}.apply(h.state)
	require.Len(t, reply, 1)
	require.Equal(t, free.Target, (<-reply).Target.Target)
}
