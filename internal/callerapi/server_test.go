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

// A sender of slow or oversized headers loses its connection, and the next caller is served.
func TestHeadersAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ sent, answer string }{
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
			line, err := bufio.NewReader(conn).ReadString('\n') // returns only when the server gives up
			if c.answer == "" {
				require.Error(t, err)
			}
			require.True(t, strings.HasPrefix(line, c.answer), line)

			response, err := http.Get("http://" + listener.Addr().String())
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		})
	}
}

// stuckWriter is a connection whose caller takes some events and then reads no more: a
// write waits for the deadline, and without one the test ends.
type stuckWriter struct {
	nullWriter
	takes    int
	deadline time.Time
}

var errNoDeadline = errors.New("the write would wait without end")

func (w *stuckWriter) SetWriteDeadline(at time.Time) error { w.deadline = at; return nil }

func (w *stuckWriter) Write(p []byte) (int, error) {
	if w.deadline.IsZero() {
		return 0, errNoDeadline
	}
	if w.takes == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	w.takes--
	return len(p), nil
}

// A caller that reads no more counts as gone at the write deadline, and its ticket is closed.
func TestCallerThatReadsNoMore(t *testing.T) {
	for takes := range 2 {
		desk := &fakeDesk{}
		server := newTestServer(t, desk, &fakeEngines{tokens: []string{"a", "b", "c"}})
		request, err := http.NewRequest("POST", plainURL, strings.NewReader(plainBody))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+testKey)
		writer := &stuckWriter{nullWriter: nullWriter{header: http.Header{}}, takes: takes}
		server.Config.Handler.ServeHTTP(writer, request)
		require.False(t, writer.deadline.IsZero())
		require.Equal(t, core.Abandoned, (<-desk.closed).Result)
	}
}
