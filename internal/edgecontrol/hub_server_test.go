package edgecontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// hubState is the state of a hub whose messages are collected.
type hubState struct {
	*state
	clock    time.Duration
	revision uint64 // of the store
	sent     []message.Message
	prefixes prefixCounts
}

func newHubState() *hubState {
	h := &hubState{clock: time.Hour, revision: 10}
	h.state = newState(&Options{
		Self: host("h"), Clock: func() time.Duration { return h.clock }, Log: &log.Logger{Handler: discard.New()}, Metrics: &h.prefixes,
		Send: func(_ core.HostID, m message.Message) bool { h.sent = append(h.sent, m); return true }, SetPeers: func([]core.Host) {},
		post: func(event) {}, // timers are played by the tests
	})
	return h
}

// read applies a read of the store, and sends the changes to the subscribers as Loop.Run does.
func (h *hubState) read(config *core.RoutingConfig, registrations []core.Registration) {
	before := h.view
	h.revision++
	updateEvent{Update: Update{SentAt: h.clock, Config: config, CoversConfig: true, CoversRegistry: true, ConfigRevision: h.revision, RegistryRevision: h.revision,
		Registrations: registrations, FullRegistry: registrations != nil}}.apply(h.state)
	h.view.Targets, h.lastRegistryDigest = h.registry.Entries(), 0
	h.notifySubscribers(&before, &h.view)
	h.respondAll()
}

// request handles a subscriber's request and returns the updates and the response sent for it.
func (h *hubState) request(m message.HubRequest) (updates []message.HubUpdate, response message.HubResponse) {
	h.sent = nil
	h.handleHubRequest("subscriber", m)
	for _, sent := range h.sent {
		switch sent := sent.(type) {
		case message.HubUpdate:
			updates = append(updates, sent)
		case message.HubResponse:
			response = sent
		}
	}
	return updates, response
}

// A subscriber that is paused for longer than subscriberTTL misses updates. Without a new first
// update it would take its old configuration, with revoked keys, for the hub's current one.
func TestPausedSubscriberGetsMissedUpdates(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	updates, response := h.request(message.HubRequest{Subscription: 1})
	require.Len(t, updates, 1)
	require.True(t, response.AgeKnown)

	h.clock += 1600 * time.Millisecond
	h.chooser.Next(h.clock, 0, true, true) // drops the subscriber
	h.read(engineConfig(4), nil)
	updates, response = h.request(message.HubRequest{Subscription: 1})
	require.Len(t, updates, 1)
	require.Equal(t, core.Revision(4), updates[0].Config.Value().Revision)
	require.Equal(t, updates[0].Number, response.LastSent)
}

// While a first update is on its way, its receiver repeats its requests. Sending the update with
// each of them fills the hub's link, so that the responses that queue behind are overdue.
func TestFirstUpdateIsSentOncePerSubscription(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	for i := range 5 {
		updates, response := h.request(message.HubRequest{Subscription: 7})
		require.Equal(t, i == 0, len(updates) == 1)
		require.Equal(t, uint64(1), response.LastSent)
	}
	updates, _ := h.request(message.HubRequest{Subscription: 8})
	require.Len(t, updates, 1)
}

// A host that changes its hub mostly has all state already. If each change of hub cost a whole
// configuration and registry, a hub that takes over hundreds of subscribers would be overdue.
func TestFirstUpdateLeavesOutWhatTheSubscriberHas(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	h.setHosts([]core.Host{host("h"), host("subscriber")})
	same := message.HubRequest{Revision: 3, RegistryDigest: h.registry.Digest(), HostCount: 2}
	for i, c := range []struct {
		name                    string
		change                  func(*message.HubRequest)
		config, registry, hosts bool
	}{
		{"nothing", func(*message.HubRequest) {}, false, false, false},
		{"older configuration", func(m *message.HubRequest) { m.Revision = 2 }, true, false, false},
		{"another registry", func(m *message.HubRequest) { m.RegistryDigest++ }, false, true, false},
		{"no registry", func(m *message.HubRequest) { m.RegistryDigest = 0 }, false, true, false},
		{"fewer hosts", func(m *message.HubRequest) { m.HostCount = 1 }, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := same
			m.Subscription = uint64(i + 1)
			c.change(&m)
			updates, _ := h.request(m)
			require.Len(t, updates, 1)
			require.True(t, updates[0].First)
			require.True(t, updates[0].HasEvacuated)
			require.Equal(t, c.config, updates[0].Config != nil)
			require.Equal(t, c.registry, updates[0].Registry != nil)
			require.True(t, !c.registry || len(updates[0].Registry.Value()) == 2)
			require.Equal(t, c.hosts, updates[0].Hosts != nil)
		})
	}
}

// A configuration with many routes goes to every subscriber, so its size on the link bounds how
// soon all of them have it.
func TestConfigurationOfManyRoutesIsSmallOnTheLink(t *testing.T) {
	config := engineConfig(3)
	for i := range 1200 {
		config.Routes = append(config.Routes, core.Route{
			ID: core.RouteID(fmt.Sprintf("route-%d", i)), Host: "shop.example", Prefix: fmt.Sprintf("/idle%d/", i),
			Splits: []core.Split{{Pool: "llm", Weight: 100}}, Timeout: 39 * time.Second, AnswerGoal: 2 * time.Second,
		})
	}
	encoded, err := message.NewShared(config).MarshalCBOR()
	require.NoError(t, err)
	require.Less(t, len(encoded), 60<<10)
	var decoded message.Shared[*core.RoutingConfig]
	require.NoError(t, decoded.UnmarshalCBOR(encoded))
	require.Equal(t, config, decoded.Value())
}

// A hub's response to a former incarnation of a host can reach the new one, whose machine may
// have another clock. Taken as a proof, it would make old state count as current for hours.
func TestResponseToFormerIncarnationProvesNothing(t *testing.T) {
	h := newHubState()
	h.setHosts([]core.Host{{ID: "big", Capacity: 9}, host("h")})
	h.chooser.SetLinked("big", true)
	h.updateHub()
	require.Equal(t, core.HostID("big"), h.hub)
	number := h.subscription.number
	h.handleHubUpdate("big", message.HubUpdate{Number: 1, First: true, Config: message.NewShared(engineConfig(3)), Registry: message.NewShared([]core.Registration{})})
	h.handleHubResponse("big", message.HubResponse{Subscription: number - 1, SentAt: h.clock + time.Hour, AgeKnown: true, LastSent: 1})
	_, known := h.view.ConfigProof.Age(h.clock)
	require.False(t, known)
	h.handleHubResponse("big", message.HubResponse{Subscription: number, SentAt: h.clock, AgeKnown: true, LastSent: 1})
	_, known = h.view.ConfigProof.Age(h.clock)
	require.True(t, known)
}

// While a hub keeps missing targets after an outage of the store, it must not report its state as
// current. Otherwise subscribers that saw no outage would go on using targets that are gone.
func TestHubReportsNoAgeInGracePeriod(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	_, response := h.request(message.HubRequest{Subscription: 1})
	require.True(t, response.AgeKnown)
	storeEvent{up: false}.apply(h.state)
	h.clock += 2 * time.Second
	storeEvent{up: true}.apply(h.state)
	for range 20 {
		h.read(nil, engines(1))
		_, response = h.request(message.HubRequest{Subscription: 1})
		require.False(t, response.AgeKnown)
		h.clock += 99 * time.Millisecond
	}
	h.clock += 20 * time.Millisecond
	h.tick()
	h.read(nil, engines(1))
	_, response = h.request(message.HubRequest{Subscription: 1})
	require.True(t, response.AgeKnown)
	require.Len(t, h.registry.Entries(), 1)
}

// A host that has just become a hub begins to read the store with its first subscriber. If it
// responded before that read, the subscriber would read the store itself, as all others do.
func TestNewHubRespondsOnceItHasReadTheStore(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	h.clock += 5 * time.Second
	updates, response := h.request(message.HubRequest{Subscription: 1, SentAt: 7})
	require.Empty(t, updates, "sends a registry that may be older than the subscriber's")
	require.Zero(t, response.SentAt, "responds before it has read the store")
	require.True(t, h.view.ReadsStore)
	h.clock += 20 * time.Millisecond
	h.sent = nil
	h.read(nil, engines(2))
	require.True(t, h.sent[0].(message.HubUpdate).First)
	require.Equal(t, message.HubResponse{Subscription: 1, SentAt: 7, AgeKnown: true, LastSent: 1, FailureRates: map[core.TargetID]float64{}}, h.sent[1])

	h.clock += 5 * time.Second
	_, response = h.request(message.HubRequest{Subscription: 1, SentAt: 8})
	require.Zero(t, response.SentAt)
	h.clock += maxResponseDelay
	h.sent = nil
	h.tick()
	require.Equal(t, 5*time.Second+maxResponseDelay, h.sent[0].(message.HubResponse).Age, "responds in time also without the store")
}
