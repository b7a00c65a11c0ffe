package platform

import (
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestMalformedResponse guards against a write that counts as done, or as not done, after a response with a malformed
// head: neither is known.
func TestMalformedResponse(t *testing.T) {
	for name, response := range rawhttp.MalformedResponses() {
		t.Run(name, func(t *testing.T) {
			server, err := rawhttp.Start(response)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			client := NewClient(server.Address(), testTimeout)
			t.Cleanup(client.Close)

			var ambiguous *AmbiguousError
			require.ErrorAs(t, client.Commit(t.Context(), insert("a", "1")), &ambiguous)
			require.ErrorAs(t, client.Announce(t.Context(), core.Host{ID: "h1"}), &ambiguous)
			var unavailable *UnavailableError
			_, err = client.Rows(t.Context(), "a")
			require.ErrorAs(t, err, &unavailable)
		})
	}
}
