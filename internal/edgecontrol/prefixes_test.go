package edgecontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

// prefixCounts is a Metrics that keeps the sums.
type prefixCounts struct {
	prompt, expected core.Tokens
}

func (c *prefixCounts) PrefixPlaced(_ core.PoolID, prompt, expected core.Tokens) {
	c.prompt, c.expected = c.prompt+prompt, c.expected+expected
}

// prefixHub returns a hub with ten engines.
func prefixHub(weighPrefixes bool) *hubState {
	h := newHubState()
	config := engineConfig(3)
	config.Pools[0].WeighPrefixes = weighPrefixes
	h.read(config, engines(10))
	return h
}

// placeSession plays the requests of one session, each after the end of the former one, and returns their responses.
func placeSession(h *hubState, first, requests int, prefix []core.PrefixPart) []message.PlacementResponse {
	var responses []message.PlacementResponse
	for i := range requests {
		h.sent = nil
		h.handlePlacementRequest("peer", message.PlacementRequest{
			Number: uint64(first + i), Pool: "llm", Request: fmt.Sprint("r", first+i), Memory: 3000, Prompt: 2550, Prefix: prefix,
		})
		responses = append(responses, h.sent[0].(message.PlacementResponse))
		h.clock += 100 * time.Millisecond
		h.handleHostLoad("peer", message.HostLoad{LastPlacement: uint64(first + i)}) // the request has ended
	}
	return responses
}

// Guards against requests of one session that go to engines without its prompt, and against an estimate that outlives
// the engine's process.
func TestSessionStaysAtItsEngine(t *testing.T) {
	h := prefixHub(true)
	prefix := []core.PrefixPart{{Key: 1, Tokens: 350}, {Key: 2, Tokens: 2200}}
	responses := placeSession(h, 1, 6, prefix)
	require.Zero(t, responses[0].ExpectedCached)
	for _, response := range responses[1:] {
		require.Equal(t, responses[0].Target, response.Target)
		require.InDelta(t, 2550, float64(response.ExpectedCached), 20)
	}
	require.Equal(t, core.Tokens(6*2550), h.prefixes.prompt)
	require.InDelta(t, 5*2550, float64(h.prefixes.expected), 100)

	restarted := h.view.Targets[responses[0].Target].Registration
	restarted.Born++
	restarted.Revision = h.revision + 1
	h.read(nil, []core.Registration{restarted})
	require.Zero(t, placeSession(h, 7, 1, prefix)[0].ExpectedCached)
}

// Guards against a changed placement in a pool without the flag, also if a subscriber sends prefixes.
func TestPrefixesOfAPoolWithoutTheFlagAreIgnored(t *testing.T) {
	prefix := []core.PrefixPart{{Key: 1, Tokens: 350}, {Key: 2, Tokens: 2200}}
	h := prefixHub(false)
	require.Equal(t, placeSession(prefixHub(false), 1, 20, nil), placeSession(h, 1, 20, prefix))
	require.Equal(t, placeSession(prefixHub(true), 1, 20, nil), placeSession(prefixHub(false), 1, 20, nil), "nor does the flag alone change anything")
	require.Zero(t, h.prefixes)
}

// Guards against a subscriber that does not pass the prefix on to its hub, or loses what the hub expects.
func TestSubscriberSendsThePrefix(t *testing.T) {
	h := prefixHub(true)
	h.setHosts([]core.Host{{ID: "big", Capacity: 9}, host("h")})
	h.chooser.SetLinked("big", true)
	h.updateHub()
	h.sent = nil
	prefix := []core.PrefixPart{{Key: 1, Tokens: 350}}
	reply := make(chan Assignment, 1)
	placeEvent{req: PlacementRequest{Pool: "llm", Request: placement.Request{ID: "r", Memory: 3000, Prompt: 350, Prefix: prefix}}, reply: reply}.apply(h.state)
	require.Len(t, h.sent, 1)
	sent := h.sent[0].(message.PlacementRequest)
	require.Equal(t, prefix, sent.Prefix)
	h.handlePlacementResponse(message.PlacementResponse{Number: sent.Number, Target: engines(1)[0].Target, ExpectedCached: 300})
	require.Equal(t, core.Tokens(300), (<-reply).ExpectedCached)
	require.Zero(t, h.prefixes, "counted by the hub")
}
