package platform

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/tools/standin/rawhttp"
)

// TestResponseResetDuringUpload guards against a write that counts as done though the platform's response to it was cut off:
// the connection is reset while the write is being sent.
func TestResponseResetDuringUpload(t *testing.T) {
	server, err := rawhttp.StartResetting("HTTP/1.1 200 OK\r\n\r\n{", rawhttp.ResponseTime)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := NewClient(server.Address(), testTimeout)
	t.Cleanup(client.Close)
	value := strings.Repeat("x", rawhttp.UploadBytes)
	done := 0
	for range 20 {
		for _, err := range []error{client.Commit(t.Context(), insert("a", value)), client.PutObject(t.Context(), "a", []byte(value))} {
			if err == nil {
				done++
				continue
			}
			var ambiguous *AmbiguousError
			require.ErrorAs(t, err, &ambiguous)
		}
	}
	require.Zero(t, done)
}
