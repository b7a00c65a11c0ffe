package responsehead

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/decide/responsescan"
	"siskintide.example/siskintide/tools/standin/rawhttp"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a stand-in with the given responses and returns its address.
func serve(t *testing.T, responses ...string) string {
	t.Helper()
	server, err := rawhttp.Start(responses...)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

// newClient returns a client, and a function that returns the number of connections that it has opened.
func newClient(t *testing.T) (*http.Client, func() int) {
	t.Helper()
	dialed := 0
	base := &http.Transport{}
	transport := NewTransport(base)
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed++
		return dial(ctx, network, address)
	}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}, func() int { return dialed }
}

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\nHTTP/1.1 000 \n\n ok"

// TestResponsesOnOneConnection guards against a body that is taken for a head, or a head for a body, where responses
// follow one another on a connection.
func TestResponsesOnOneConnection(t *testing.T) {
	address := serve(t, sound, "HTTP/1.1 100 Continue\r\n\r\n"+sound, sound, "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok")
	client, dialed := newClient(t)
	for i := range 4 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader("body"))
		if i == 3 {
			var malformed *MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, responsescan.InvalidFieldName, malformed.Reason)
			continue
		}
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "HTTP/1.1 000 \n\n ok", string(body))
	}
	require.Equal(t, 1, dialed())
}

// TestMalformedHeads guards against clients that take a response with a malformed head for one of its target.
func TestMalformedHeads(t *testing.T) {
	for head, want := range map[string]responsescan.Reason{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":                 responsescan.InvalidStatus,
		"HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok":                 responsescan.InvalidFieldName,
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\nok":        responsescan.ContinuedLine,
		"HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: 2\r\n\r\nok":       responsescan.MixedLineEnds,
		"HTTP/1.1 100 Continue\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n": responsescan.InvalidFieldName,
	} {
		t.Run(string(want), func(t *testing.T) {
			client, _ := newClient(t)
			_, err := client.Get("http://" + serve(t, head))
			var malformed *MalformedError
			require.ErrorAs(t, err, &malformed)
			require.Equal(t, want, malformed.Reason)
		})
	}
}
