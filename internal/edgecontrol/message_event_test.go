package edgecontrol

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// drawMessage draws a message of a kind that the control goroutine handles, with any values.
func drawMessage(t *rapid.T) message.Message {
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return rapid.Make[message.HubRequest]().Draw(t, "hub request")
	case 1:
		return rapid.Make[message.HubResponse]().Draw(t, "hub response")
	case 2:
		update := message.HubUpdate{
			Number: rapid.Uint64().Draw(t, "number"), First: rapid.Bool().Draw(t, "first"),
			HasEvacuated:  rapid.Bool().Draw(t, "has evacuated"),
			Registrations: rapid.Make[[]core.Registration]().Draw(t, "registrations"),
			Removed:       rapid.Make[[]core.TargetID]().Draw(t, "removed"),
			Hosts:         rapid.Make[[]core.Host]().Draw(t, "hosts"),
		}
		if rapid.Bool().Draw(t, "has registry") {
			update.Registry = message.NewShared(rapid.Make[[]core.Registration]().Draw(t, "registry"))
		}
		if rapid.Bool().Draw(t, "has configuration") {
			config := rapid.Make[*core.RoutingConfig]().Draw(t, "configuration") // may be nil
			update.Config = message.NewShared(config)
		}
		return update
	case 3:
		return rapid.Make[message.HostLoad]().Draw(t, "load")
	case 4:
		return rapid.Make[message.PlacementRequest]().Draw(t, "placement request")
	case 5:
		return rapid.Make[message.TargetLimits]().Draw(t, "limits")
	default:
		return rapid.Make[message.PlacementResponse]().Draw(t, "placement response")
	}
}

// A host must survive any message that can be decoded: a panic of the control goroutine ends the
// process, and the host that sent the message may send it to all others too.
func TestAnyMessageIsHandled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHubState()
		h.setHosts([]core.Host{host("h"), host("peer")})
		for _, id := range []core.HostID{"h", "peer"} {
			h.chooser.SetLinked(id, true)
		}
		if rapid.Bool().Draw(t, "has state") {
			h.read(engineConfig(3), engines(3))
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			from := core.HostID(rapid.SampledFrom([]string{"peer", "stranger"}).Draw(t, "from"))
			messageEvent{from: from, message: drawMessage(t)}.apply(h.state)
			if h.registryChanged {
				h.view.Targets, h.registryChanged, h.lastRegistryDigest = h.registry.Entries(), false, 0
			}
			h.candidatesByPool = nil
			h.clock += time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond
			h.tick()
		}
	})
}

// A configuration that is encoded as null decodes to none. The host must not take it for one.
func TestUpdateWithoutAConfigurationInIt(t *testing.T) {
	h := newHubState()
	h.setHosts([]core.Host{{ID: "big", Capacity: 9}, host("h")})
	h.chooser.SetLinked("big", true)
	h.updateHub()
	h.handleHubUpdate("big", message.HubUpdate{Number: 1, First: true, Config: message.NewShared[*core.RoutingConfig](nil)})
	require.Nil(t, h.view.Table)
}

// A host that has just started gets the placement requests of its former subscribers before it knows any
// target.
func TestPlacementRequestBeforeTheFirstConfiguration(t *testing.T) {
	h := newHubState()
	h.setHosts([]core.Host{host("h"), host("peer")})
	h.handlePlacementRequest("peer", message.PlacementRequest{Number: 7, Pool: "llm", Request: "r"})
	require.Equal(t, []message.Message{message.PlacementResponse{Number: 7}}, h.sent)
}
