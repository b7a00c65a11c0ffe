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
	h := newHarness(t)
	h.ownTargets()
	response := h.receive(h.acquire(1))
	require.Nil(t, response.refusal)
	require.Equal(t, core.HostID("a1"), response.grant.Ticket.Owner)
	require.Equal(t, core.Incarnation("i1"), response.grant.Ticket.Incarnation)
	require.NotZero(t, response.grant.Ticket.Fence)
}

func TestPausedOwnerGrantsNothingAfterItsLeaseRanOut(t *testing.T) {
	const pause = 11 * time.Second // longer than a lease
	h := newHarness(t)
	h.ownTargets()
	h.now = h.now.Add(pause)
	replies := h.acquire(1)
	if len(replies) == 0 {
		return
	}
	require.NotNil(t, (<-replies).refusal, "a host that was paused past its lease issued a ticket")
}

func TestColdTargetsBoundTheGrants(t *testing.T) {
	h := newHarness(t)
	h.ownTargets()
	granted := 0
	for n := byte(1); n <= 8; n++ {
		if len(h.acquire(n)) == 1 {
			granted++
		}
	}
	require.Equal(t, 4, granted, "each of two cold targets takes two streams")
}

// remoteOwner adds a linked host in the other data centre that owns a target.
func (h *harness) remoteOwner(host core.HostID) {
	h.t.Helper()
	h.effects.linked[host] = true
	h.apply(hostListEvent{hosts: []core.Host{{ID: host, DataCentre: "oslo-b", PeerAddress: "127.0.0.1:2"}}})
	h.apply(linkEvent{host: host, up: true})
	h.apply(peerEvent{from: host, message: message.PoolCapacity{Pool: core.ModelPool("manus"), DataCentre: "oslo-b", FreeStreams: 2, Targets: 1}})
}

func TestGrantOfAWithdrawnRequestIsReturned(t *testing.T) {
	h := newHarness(t)
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.remoteOwner("b1")
	replies := h.acquire(1)
	require.Len(t, sentTo[message.TicketRequest](h.effects, "b1"), 1)
	h.apply(withdrawEvent{generation: generation(1)})
	h.apply(peerEvent{from: "b1", message: message.TicketGrant{Ticket: core.Ticket{Generation: generation(1), Owner: "b1", Target: "e3"}}})
	closes := sentTo[message.TicketClosed](h.effects, "b1")
	require.NotEmpty(t, closes)
	last := closes[len(closes)-1].Outcome
	require.Equal(t, core.Outcome{Generation: generation(1), Target: "e3", Result: core.Unused}, last)
	require.Empty(t, replies)
	require.Empty(t, h.state.heldTickets)
}

func TestGrantOfAnotherOwnerIsReturned(t *testing.T) {
	h := newHarness(t)
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.remoteOwner("b1")
	h.effects.linked["b2"] = true
	replies := h.acquire(1)
	h.apply(peerEvent{from: "b2", message: message.TicketGrant{Ticket: core.Ticket{Generation: generation(1), Owner: "b2", Target: "e3"}}})
	require.Empty(t, replies)
	require.Len(t, sentTo[message.TicketClosed](h.effects, "b2"), 1)
}

func TestRequestMovesWhenItsOwnerIsLost(t *testing.T) {
	h := newHarness(t)
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.remoteOwner("b1")
	h.acquire(1)
	require.Len(t, sentTo[message.TicketRequest](h.effects, "b1"), 1)
	h.remoteOwner("b2")
	h.apply(linkEvent{host: "b1", up: false})
	require.Len(t, sentTo[message.TicketRequest](h.effects, "b2"), 1)
}

func TestEveryRequestIsAnsweredWithinItsBudget(t *testing.T) {
	h := newHarness(t)
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.remoteOwner("b1")
	replies := h.acquire(1)
	h.advance(6 * time.Second)
	refusal := h.receive(replies).refusal
	require.NotNil(t, refusal)
	require.Equal(t, core.NotRun, refusal.Run)
	require.Empty(t, h.state.pending)
}

func TestDataCentreThatIsOutGetsNoRequest(t *testing.T) {
	h := newHarness(t)
	config := testConfig(1)
	config.DataCentres[1].State = core.StateOut
	h.apply(offerConfigEvent{config: config})
	h.remoteOwner("b1")
	h.acquire(1)
	require.Empty(t, sentTo[message.TicketRequest](h.effects, "b1"))
}

func TestOwnerRefusesOnceItsDataCentreIsOut(t *testing.T) {
	h := newHarness(t)
	h.ownTargets()
	config := testConfig(2)
	config.DataCentres[0].State = core.StateOut
	h.apply(offerConfigEvent{config: config})
	h.effects.linked["b1"] = true
	h.apply(peerEvent{from: "b1", message: message.TicketRequest{Request: h.ticketRequest(9)}})
	require.Empty(t, sentTo[message.TicketGrant](h.effects, "b1"))
	require.Len(t, sentTo[message.TicketRefusal](h.effects, "b1"), 1)
}

func TestRevisionNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	for _, step := range []struct{ offered, inForce core.Revision }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		h.apply(offerConfigEvent{config: testConfig(step.offered)})
		require.Equal(t, step.inForce, h.state.buildSnapshot(h.now).Catalog.Config.Revision)
	}
}

func TestGrantThatCannotBeSentIsTakenBack(t *testing.T) {
	h := newHarness(t)
	h.ownTargets()
	for n := byte(1); n <= 20; n++ {
		request := h.ticketRequest(n)
		h.apply(peerEvent{from: "b1", message: message.TicketRequest{Request: request}})
	}
	require.Nil(t, h.receive(h.acquire(30)).refusal, "tickets for an unlinked host leaked")
}

func TestCommitIsRelayedThroughAPeerThatReachesThePlatform(t *testing.T) {
	h := newHarness(t)
	h.effects.linked["a2"] = true
	h.apply(hostListEvent{hosts: []core.Host{{ID: "a2", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:3"}}})
	h.apply(linkEvent{host: "a2", up: true})
	h.apply(peerEvent{from: "a2", message: message.Heartbeat{Host: "a2", PlatformReached: true}})
	h.apply(commitUnavailableEvent{id: 7, transaction: core.Transaction{Writes: []core.Write{{Key: "lease/oslo-a/a1"}}}})
	relayed := sentTo[message.RelayRequest](h.effects, "a2")
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

// newLargeHarness returns the harness of a host in a data centre of 60 hosts.
func newLargeHarness(t *testing.T, prepare func(*fakeEffects)) *harness {
	h := newHarness(t)
	prepare(h.effects)
	hosts := []core.Host{}
	for i := range 60 {
		hosts = append(hosts, core.Host{ID: core.HostID(fmt.Sprintf("a%d", i+1)), DataCentre: "oslo-a", PeerAddress: "127.0.0.1:9"})
	}
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.apply(hostListEvent{hosts: hosts})
	return h
}

// peers returns the identifiers of the hosts that this host keeps links with.
func (h *harness) peers() []core.HostID {
	var ids []core.HostID
	for _, host := range h.state.members.Peers(h.now) {
		ids = append(ids, host.ID)
	}
	return ids
}

func TestLinksToOwnersAreRequestedInALargeDataCentre(t *testing.T) {
	usual := newLargeHarness(t, func(*fakeEffects) {}).peers()
	var owner core.HostID
	for i := 2; i <= 60 && owner == ""; i++ {
		if id := core.HostID(fmt.Sprintf("a%d", i)); !slices.Contains(usual, id) {
			owner = id
		}
	}
	require.NotEmpty(t, owner, "the number of links is not bounded")
	h := newLargeHarness(t, func(effects *fakeEffects) {
		effects.leases[owner] = ownership.LeaseRow{Lease: ownership.Lease{Host: owner, Session: "s", Epoch: 1, Serial: 1}, Version: 1}
		effects.owners["e1"] = ownership.OwnerRow{Owner: ownership.Owner{Target: "e1", Holder: owner, Session: "s", Epoch: 1, Fence: 1}, Version: 1}
	})
	require.NotContains(t, h.peers(), owner)
	h.acquire(1)
	h.advance(3 * time.Second)
	require.Contains(t, h.peers(), owner)
}

func TestNewOwnerInheritsTheLimit(t *testing.T) {
	h := newHarness(t)
	h.effects.linked["a2"] = true
	load := message.TargetLoad{Target: "e1", Limit: 6, Incarnation: pool.IncarnationHash("i1")}
	h.apply(peerEvent{from: "a2", message: message.TargetLoads{Targets: []message.TargetLoad{load}}})
	h.apply(linkEvent{host: "a2", up: false})
	h.ownTargets()
	limits := map[core.TargetID]int{}
	for _, view := range h.state.targetViews() {
		limits[view.Target] = view.Limit
	}
	require.Equal(t, map[core.TargetID]int{"e1": 6, "e2": 2}, limits)
}

func TestLimitsDoNotGrowWhileTheOwnerIsDegraded(t *testing.T) {
	for _, platformUnavailable := range []bool{false, true} {
		h := newHarness(t)
		h.effects.linked["a2"] = true
		h.ownTargets()
		h.apply(hostListEvent{hosts: []core.Host{{ID: "a2", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:3"}}})
		h.apply(linkEvent{host: "a2", up: true})
		h.effects.platformUnavailable = platformUnavailable
		h.serveHealthy(40, !platformUnavailable)
		require.Equal(t, platformUnavailable, h.state.ownership.Degraded(h.now))
		grown := false
		for _, view := range h.state.targetViews() {
			grown = grown || view.Limit > 2
		}
		require.Equal(t, !platformUnavailable, grown)
	}
}

// serveHealthy serves as many one-second requests as are granted, all within the latency
// bounds, while a peer reports in heartbeats whether it reaches the platform.
func (h *harness) serveHealthy(seconds int, reached bool) {
	h.t.Helper()
	n := byte(100)
	for range seconds {
		h.apply(peerEvent{from: "a2", message: message.Heartbeat{Host: "a2", PlatformReached: reached}})
		var granted []core.Ticket
		for range 4 {
			n++
			if replies := h.acquire(n); len(replies) == 1 {
				if response := <-replies; response.refusal == nil {
					granted = append(granted, response.grant.Ticket)
				}
			} else {
				h.apply(withdrawEvent{generation: generation(n)})
			}
		}
		h.advance(time.Second)
		for _, ticket := range granted {
			h.apply(closeEvent{outcome: core.Outcome{Generation: ticket.Generation, Target: ticket.Target, Result: core.Completed, Output: 30, FirstTokenMS: 40, WorstTokenGapMS: 30}})
		}
		h.report("e1")
		h.report("e2")
	}
}
