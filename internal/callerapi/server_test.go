package callerapi

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// TestHeadersAreBounded guards against callers that occupy a connection with slow, oversized
// or invalid headers: the connection is closed, and the next request is served.
func TestHeadersAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ sent, response string }{
		"never ended":   {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ", ""},
		"nothing sent":  {"", ""},
		"without end":   {"GET / HTTP/1.1\r\nX-Large: " + strings.Repeat("x", 2*maxHeaderBytes), "HTTP/1.1 431"},
		"not a request": {"hello\r\n\r\n", "HTTP/1.1 400"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := NewServer(http.NotFoundHandler())
			require.Equal(t, readHeaderTimeout, server.ReadHeaderTimeout)
			server.ReadHeaderTimeout = 20 * time.Millisecond
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })

			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write([]byte(c.sent))
			require.NoError(t, err)
			line, err := bufio.NewReader(conn).ReadString('\n') // returns when the server responds or closes the connection
			if c.response == "" {
				require.Error(t, err)
			}
			require.True(t, strings.HasPrefix(line, c.response), line)

			response, err := http.Get("http://" + listener.Addr().String())
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		})
	}
}

// stalledWriter is the connection of a caller that stops reading after some writes. Later
// writes fail as at the write deadline, and writes without a deadline with errNoDeadline.
type stalledWriter struct {
	discardWriter
	writes   int
	deadline time.Time
}

var errNoDeadline = errors.New("the write would block forever")

func (w *stalledWriter) SetWriteDeadline(at time.Time) error { w.deadline = at; return nil }

func (w *stalledWriter) Write(p []byte) (int, error) {
	if w.deadline.IsZero() {
		return 0, errNoDeadline
	}
	if w.writes == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	w.writes--
	return len(p), nil
}

// TestCallerStopsReading guards against a ticket that stays open when its caller stops
// reading: the caller counts as disconnected at the write deadline.
func TestCallerStopsReading(t *testing.T) {
	for writes := range 2 {
		controller := &fakeController{}
		server := newTestServer(t, controller, &fakeEngines{tokens: []string{"a", "b", "c"}})
		request, err := http.NewRequest("POST", completionsURL, strings.NewReader(streamRequestBody))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		writer := &stalledWriter{discardWriter: discardWriter{header: http.Header{}}, writes: writes}
		server.Config.Handler.ServeHTTP(writer, request)
		require.False(t, writer.deadline.IsZero())
		require.Equal(t, core.Abandoned, (<-controller.closed).Result)
	}
}
