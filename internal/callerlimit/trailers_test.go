package callerlimit

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/headscan"
)

const (
	trailerLines  = 300 // as many as fit into the limit of the test server
	chunkedHead   = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunkedBody   = "4\r\nbody\r\n0\r\n"
	afterTrailers = "\r\n"
)

var shortTrailers = strings.Repeat("a:\r\n", trailerLines)

// TestTrailersTakeMemory guards against trailers of many short lines, which take far more memory than their bytes for
// as long as their request is in work, and which no budget counts.
func TestTrailersTakeMemory(t *testing.T) {
	for name, parts := range map[string][]string{
		"at once":            {chunkedHead + chunkedBody + shortTrailers + afterTrailers},
		"apart":              {chunkedHead, chunkedBody, shortTrailers[:99], shortTrailers[99:], afterTrailers[:1], afterTrailers[1:]},
		"with the next head": {chunkedHead + chunkedBody, shortTrailers + afterTrailers + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			s := newTestServer(t, callerbudget.LimitsOf(0, 0), func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/a" {
					_, _ = io.ReadAll(r.Body)
					<-end
				}
				w.WriteHeader(http.StatusNoContent)
			})
			conn := s.dial()
			for _, part := range parts {
				_, err := io.WriteString(conn, part)
				require.NoError(t, err)
				<-time.After(2 * time.Millisecond)
			}
			require.Eventually(t, func() bool {
				used, _ := s.used()
				return used >= callerbudget.ConnectionBytes+trailerLines*headscan.LineBytes
			}, stepTimeout, time.Millisecond)
			close(end)
			reader := bufio.NewReader(conn)
			for range strings.Count(strings.Join(parts, ""), "Host") {
				response, _ := readResponse(t, reader)
				require.Equal(t, http.StatusNoContent, response.StatusCode)
			}
			require.Eventually(t, func() bool {
				used, _ := s.used()
				return used == callerbudget.ConnectionBytes
			}, stepTimeout, time.Millisecond)
		})
	}
}

// TestTrailersWithoutMemory guards against trailers that are parsed without memory for them, and against a request
// that waits for them without end.
func TestTrailersWithoutMemory(t *testing.T) {
	s := newTestServer(t, callerbudget.Limits{Bytes: 4 * callerbudget.ConnectionBytes, Connections: 10}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			t.Error("the trailers were parsed")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	conn := s.dial()
	_, err := io.WriteString(conn, chunkedHead)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		used, _ := s.used()
		return used > callerbudget.ConnectionBytes
	}, stepTimeout, time.Millisecond)
	_, err = io.WriteString(conn, chunkedBody+shortTrailers+afterTrailers)
	require.NoError(t, err)
	response, _ := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, 1, s.metrics.count(string(callerbudget.NoMemory)))
	require.Eventually(t, func() bool {
		used, connections := s.used()
		return used == 0 && connections == 0
	}, stepTimeout, time.Millisecond)
}
