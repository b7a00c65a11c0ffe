package relay

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestMalformedEngineResponse guards against an engine's response with a malformed head that is taken for a refusal,
// so that the request is said not to have run, or for the success of a call.
func TestMalformedEngineResponse(t *testing.T) {
	for name, response := range rawhttp.MalformedResponses() {
		t.Run(name, func(t *testing.T) {
			server, err := rawhttp.Start(response)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			transport := NewTransport()
			t.Cleanup(transport.CloseIdleConnections)
			client := engine.NewClient(&http.Client{Transport: transport})
			ticket := core.Ticket{Generation: core.GenerationID{15: 1}, Address: server.Address()}

			stream, err := client.Start(t.Context(), ticket, engine.Request{Model: "m"})
			if err == nil {
				_ = stream.Close()
			}
			var broken *engine.BrokenStreamError
			require.ErrorAs(t, err, &broken)
			var failed *engine.CallError
			require.ErrorAs(t, client.Order(t.Context(), server.Address(), engine.Order{}), &failed)
			_, err = client.State(t.Context(), server.Address())
			require.ErrorAs(t, err, &failed)
		})
	}
}
