package edgecontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// subscribe makes the host a subscriber of the host big, and returns its subscription.
func (h *hubState) subscribe() uint64 {
	big := host("b")
	big.Capacity = 2
	h.setHosts([]core.Host{big, h.options.Self})
	linkEvent{host: "b", up: true}.apply(h.state)
	return h.subscription.number
}

// readChanges applies a read of the store's changes and publishes the registry.
func (h *hubState) readChanges(update Update) {
	h.revision++
	update.SentAt, update.CoversConfig, update.CoversRegistry = h.clock, true, true
	update.ConfigRevision, update.RegistryRevision = h.revision, h.revision
	updateEvent{Update: update}.apply(h.state)
	h.view.Targets = h.registry.Entries()
}

// A hub that was paused still has the targets and the evacuations of before. A host that subscribes
// to it must not go back to them.
func TestOutdatedHubDoesNotRevertNewerState(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(3))
	outdated := message.HubUpdate{First: true, Number: 1, HasEvacuated: true, Registry: message.NewShared(engines(3)),
		ConfigRevision: h.revision, RegistryRevision: h.revision}
	h.readChanges(Update{Removed: []core.Removal{{Target: "e1", Revision: h.revision + 1}}, Evacuated: map[core.DataCentreID]bool{"z": true}})
	require.False(t, h.view.Usable("e1"))

	h.subscribe()
	h.handleHubUpdate("b", outdated)
	h.view.Targets = h.registry.Entries()
	require.False(t, h.view.Usable("e1"), "a removed target is used again")
	require.True(t, h.view.Usable("e2"))
	require.True(t, h.view.Evacuated["z"], "an evacuation is reverted")

	h.handleHubUpdate("b", message.HubUpdate{Number: 2, Registrations: engines(2)[1:], ConfigRevision: outdated.ConfigRevision, RegistryRevision: outdated.RegistryRevision})
	h.view.Targets = h.registry.Entries()
	require.False(t, h.view.Usable("e1"), "a removed target is used again")
}

// A store that answers with an older state than before proves nothing to be current.
func TestOlderReadProvesNothing(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	readAt := h.clock
	h.clock += time.Second
	updateEvent{Update: Update{SentAt: h.clock, CoversConfig: true, CoversRegistry: true, FullRegistry: true, Registrations: engines(2),
		Evacuated: map[core.DataCentreID]bool{"z": true}, ConfigRevision: h.revision - 1, RegistryRevision: h.revision - 1}}.apply(h.state)
	age, _ := h.stateAge(h.clock)
	require.Equal(t, h.clock-readAt, age)
	require.Empty(t, h.view.Evacuated)
}

// A host with a hub does not read the store. If its first call fails once the hub is lost, a removal
// that it reads then must not wait for a grace period, as if the store had been away.
func TestFailedCallAfterSubscriptionIsNoOutage(t *testing.T) {
	for name, lostAt := range map[string]time.Duration{"first call fails": time.Minute, "was lost before the subscription": 0} {
		t.Run(name, func(t *testing.T) {
			h := newHubState()
			h.read(engineConfig(3), engines(2))
			number := h.subscribe()
			h.handleHubUpdate("b", message.HubUpdate{First: true, Number: 1, ConfigRevision: h.revision, RegistryRevision: h.revision, RegistryDigest: h.registryDigest()})
			for passed := time.Duration(0); passed <= time.Minute; passed += 400 * time.Millisecond {
				if passed == lostAt.Truncate(400*time.Millisecond) {
					storeEvent{up: false}.apply(h.state)
				}
				h.clock += 400 * time.Millisecond
				h.handleHubResponse("b", message.HubResponse{Subscription: number, SentAt: h.clock, AgeKnown: true, LastSent: 1})
			}
			linkEvent{host: "b", up: false}.apply(h.state)
			h.clock += 200 * time.Millisecond
			storeEvent{up: true}.apply(h.state)
			h.readChanges(Update{Removed: []core.Removal{{Target: "e1", Revision: h.revision + 1}}})
			require.False(t, h.view.Usable("e1"))
		})
	}
}

// The entry of a live target can expire while neither this host nor its hub reads the store.
func TestOutageWithoutAHubHasAGracePeriod(t *testing.T) {
	h := newHubState()
	h.read(engineConfig(3), engines(2))
	storeEvent{up: false}.apply(h.state)
	h.clock += 2 * time.Second
	storeEvent{up: true}.apply(h.state)
	h.readChanges(Update{Removed: []core.Removal{{Target: "e1", Revision: h.revision + 1}}})
	require.True(t, h.view.Usable("e1"))
}
