package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/pool"
	"siskintide.example/siskintide/internal/message"
)

func TestOwnerGrantsToItsOwnCaller(t *testing.T) {
	w := newWorld(t)
	w.ownTargets()
	response := w.receive(w.acquire(1))
	require.Nil(t, response.refusal)
	require.Equal(t, core.HostID("a1"), response.grant.Ticket.Owner)
	require.Equal(t, core.Incarnation("i1"), response.grant.Ticket.Incarnation)
	require.NotZero(t, response.grant.Ticket.Fence)
}

func TestPausedOwnerGrantsNothingAfterItsLeaseRanOut(t *testing.T) {
	const pause = 11 * time.Second // longer than a lease
	w := newWorld(t)
	w.ownTargets()
	w.now = w.now.Add(pause)
	replies := w.acquire(1)
	if len(replies) == 0 {
		return
	}
	require.NotNil(t, (<-replies).refusal, "a host that was paused past its lease issued a ticket")
}

func TestColdTargetsBoundTheGrants(t *testing.T) {
	w := newWorld(t)
	w.ownTargets()
	granted := 0
	for n := byte(1); n <= 8; n++ {
		if len(w.acquire(n)) == 1 {
			granted++
		}
	}
	require.Equal(t, 4, granted, "each of two cold targets takes two streams")
}

// remoteOwner adds a linked host in the other data centre that owns a target.
func (w *world) remoteOwner(host core.HostID) {
	w.t.Helper()
	w.effects.linked[host] = true
	w.apply(hostListEvent{hosts: []core.Host{{ID: host, DataCentre: "oslo-b", PeerAddress: "127.0.0.1:2"}}})
	w.apply(linkEvent{host: host, up: true})
	w.apply(peerEvent{from: host, message: message.PoolCapacity{Pool: core.ModelPool("manus"), DataCentre: "oslo-b", FreeStreams: 2, Targets: 1}})
}

func TestGrantOfAWithdrawnRequestIsReturned(t *testing.T) {
	w := newWorld(t)
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	replies := w.acquire(1)
	require.Len(t, sentTo[message.TicketRequest](w.effects, "b1"), 1)
	w.apply(withdrawEvent{generation: generation(1)})
	w.apply(peerEvent{from: "b1", message: message.TicketGrant{Ticket: core.Ticket{Generation: generation(1), Owner: "b1", Target: "e3"}}})
	closes := sentTo[message.TicketClosed](w.effects, "b1")
	require.NotEmpty(t, closes)
	last := closes[len(closes)-1].Outcome
	require.Equal(t, core.Outcome{Generation: generation(1), Target: "e3", Result: core.Unused}, last)
	require.Empty(t, replies)
	require.Empty(t, w.state.heldTickets)
}

func TestGrantOfAnotherOwnerIsReturned(t *testing.T) {
	w := newWorld(t)
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	w.effects.linked["b2"] = true
	replies := w.acquire(1)
	w.apply(peerEvent{from: "b2", message: message.TicketGrant{Ticket: core.Ticket{Generation: generation(1), Owner: "b2", Target: "e3"}}})
	require.Empty(t, replies)
	require.Len(t, sentTo[message.TicketClosed](w.effects, "b2"), 1)
}

func TestRequestMovesWhenItsOwnerIsLost(t *testing.T) {
	w := newWorld(t)
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	w.acquire(1)
	require.Len(t, sentTo[message.TicketRequest](w.effects, "b1"), 1)
	w.remoteOwner("b2")
	w.apply(linkEvent{host: "b1", up: false})
	require.Len(t, sentTo[message.TicketRequest](w.effects, "b2"), 1)
}

func TestEveryRequestIsAnsweredWithinItsBudget(t *testing.T) {
	w := newWorld(t)
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.remoteOwner("b1")
	replies := w.acquire(1)
	w.advance(6 * time.Second)
	refusal := w.receive(replies).refusal
	require.NotNil(t, refusal)
	require.Equal(t, core.NotRun, refusal.Run)
	require.Empty(t, w.state.pending)
}

func TestDataCentreThatIsOutGetsNoRequest(t *testing.T) {
	w := newWorld(t)
	config := testConfig(1)
	config.DataCentres[1].State = core.StateOut
	w.apply(offerConfigEvent{config: config})
	w.remoteOwner("b1")
	w.acquire(1)
	require.Empty(t, sentTo[message.TicketRequest](w.effects, "b1"))
}

func TestOwnerRefusesOnceItsDataCentreIsOut(t *testing.T) {
	w := newWorld(t)
	w.ownTargets()
	config := testConfig(2)
	config.DataCentres[0].State = core.StateOut
	w.apply(offerConfigEvent{config: config})
	w.effects.linked["b1"] = true
	w.apply(peerEvent{from: "b1", message: message.TicketRequest{Request: w.ticketRequest(9)}})
	require.Empty(t, sentTo[message.TicketGrant](w.effects, "b1"))
	require.Len(t, sentTo[message.TicketRefusal](w.effects, "b1"), 1)
}

func TestRevisionNeverGoesBack(t *testing.T) {
	w := newWorld(t)
	for _, step := range []struct{ offered, inForce core.Revision }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		w.apply(offerConfigEvent{config: testConfig(step.offered)})
		require.Equal(t, step.inForce, w.state.buildSnapshot(w.now).Catalog.Config.Revision)
	}
}

func TestGrantThatCannotBeSentIsTakenBack(t *testing.T) {
	w := newWorld(t)
	w.ownTargets()
	for n := byte(1); n <= 20; n++ {
		request := w.ticketRequest(n)
		w.apply(peerEvent{from: "b1", message: message.TicketRequest{Request: request}})
	}
	require.Nil(t, w.receive(w.acquire(30)).refusal, "tickets for an unlinked host leaked")
}

func TestCommitIsRelayedThroughAPeerThatReachesThePlatform(t *testing.T) {
	w := newWorld(t)
	w.effects.linked["a2"] = true
	w.apply(hostListEvent{hosts: []core.Host{{ID: "a2", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:3"}}})
	w.apply(linkEvent{host: "a2", up: true})
	w.apply(peerEvent{from: "a2", message: message.Heartbeat{Host: "a2", PlatformReached: true}})
	w.apply(commitUnavailableEvent{id: 7, transaction: core.Transaction{Writes: []core.Write{{Key: "lease/oslo-a/a1"}}}})
	relayed := sentTo[message.RelayRequest](w.effects, "a2")
	require.Len(t, relayed, 1)
	require.Equal(t, uint64(7), relayed[0].ID)
}

func TestReturningDataCentreTakesItsShareGradually(t *testing.T) {
	out, in := testConfig(1), testConfig(2)
	out.DataCentres[1].State = core.StateOut
	r := newRamp()
	began := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	r.update(nil, core.NewCatalog(out), began)
	r.update(core.NewCatalog(out), core.NewCatalog(in), began)
	require.InDelta(t, rampStart, r.share("oslo-b", began), 1e-9)
	require.InDelta(t, 0.55, r.share("oslo-b", began.Add(rampDuration/2)), 1e-9)
	require.InDelta(t, 1, r.share("oslo-b", began.Add(rampDuration)), 1e-9)
	require.InDelta(t, 1, r.share("oslo-a", began), 1e-9)
}

// largeWorld returns the state of a host in a data centre of 60 hosts.
func largeWorld(t *testing.T, prepare func(*fakeEffects)) *world {
	w := newWorld(t)
	prepare(w.effects)
	hosts := []core.Host{}
	for i := range 60 {
		hosts = append(hosts, core.Host{ID: core.HostID(fmt.Sprintf("a%d", i+1)), DataCentre: "oslo-a", PeerAddress: "127.0.0.1:9"})
	}
	w.apply(offerConfigEvent{config: testConfig(1)})
	w.apply(hostListEvent{hosts: hosts})
	return w
}

// peers returns the identifiers of the hosts that this host keeps links with.
func (w *world) peers() []core.HostID {
	var ids []core.HostID
	for _, host := range w.state.members.Peers(w.now) {
		ids = append(ids, host.ID)
	}
	return ids
}

func TestLinksToOwnersAreRequestedInALargeDataCentre(t *testing.T) {
	usual := largeWorld(t, func(*fakeEffects) {}).peers()
	var owner core.HostID
	for i := 2; i <= 60 && owner == ""; i++ {
		if id := core.HostID(fmt.Sprintf("a%d", i)); !slices.Contains(usual, id) {
			owner = id
		}
	}
	require.NotEmpty(t, owner, "the number of links is not bounded")
	w := largeWorld(t, func(effects *fakeEffects) {
		effects.leases[owner] = ownership.LeaseRow{Lease: ownership.Lease{Host: owner, Session: "s", Epoch: 1, Serial: 1}, Version: 1}
		effects.owners["e1"] = ownership.OwnerRow{Owner: ownership.Owner{Target: "e1", Holder: owner, Session: "s", Epoch: 1, Fence: 1}, Version: 1}
	})
	require.NotContains(t, w.peers(), owner)
	w.acquire(1)
	w.advance(3 * time.Second)
	require.Contains(t, w.peers(), owner)
}

func TestNewOwnerInheritsTheLimit(t *testing.T) {
	w := newWorld(t)
	w.effects.linked["a2"] = true
	load := message.TargetLoad{Target: "e1", Limit: 6, Incarnation: pool.IncarnationHash("i1")}
	w.apply(peerEvent{from: "a2", message: message.TargetLoads{Targets: []message.TargetLoad{load}}})
	w.apply(linkEvent{host: "a2", up: false})
	w.ownTargets()
	limits := map[core.TargetID]int{}
	for _, view := range w.state.targetViews() {
		limits[view.Target] = view.Limit
	}
	require.Equal(t, map[core.TargetID]int{"e1": 6, "e2": 2}, limits)
}

func TestLimitsDoNotGrowWhileTheOwnerIsDegraded(t *testing.T) {
	for _, platformUnavailable := range []bool{false, true} {
		w := newWorld(t)
		w.effects.linked["a2"] = true
		w.ownTargets()
		w.apply(hostListEvent{hosts: []core.Host{{ID: "a2", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:3"}}})
		w.apply(linkEvent{host: "a2", up: true})
		w.effects.platformUnavailable = platformUnavailable
		w.serveHealthy(40, !platformUnavailable)
		require.Equal(t, platformUnavailable, w.state.ownership.Degraded(w.now))
		grown := false
		for _, view := range w.state.targetViews() {
			grown = grown || view.Limit > 2
		}
		require.Equal(t, !platformUnavailable, grown)
	}
}

// serveHealthy serves as many one-second requests as are granted, all within the latency
// bounds, while a peer reports in heartbeats whether it reaches the platform.
func (w *world) serveHealthy(seconds int, reached bool) {
	w.t.Helper()
	n := byte(100)
	for range seconds {
		w.apply(peerEvent{from: "a2", message: message.Heartbeat{Host: "a2", PlatformReached: reached}})
		var granted []core.Ticket
		for range 4 {
			n++
			if replies := w.acquire(n); len(replies) == 1 {
				if response := <-replies; response.refusal == nil {
					granted = append(granted, response.grant.Ticket)
				}
			} else {
				w.apply(withdrawEvent{generation: generation(n)})
			}
		}
		w.advance(time.Second)
		for _, ticket := range granted {
			w.apply(closeEvent{outcome: core.Outcome{Generation: ticket.Generation, Target: ticket.Target, Result: core.Completed, Output: 30, FirstTokenMS: 40, WorstTokenGapMS: 30}})
		}
		w.report("e1")
		w.report("e2")
	}
}
