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
)

// TestRefusalLeavesRequestInWork guards against a request in work that is given up, as if its caller had left, because
// a request behind it on the same connection must be refused.
func TestRefusalLeavesRequestInWork(t *testing.T) {
	const head, body, bad = "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n", "body", "GET /bad HTTP/1.1\r\nHost: a\r\n\r\n"
	tooLarge := "GET /bad HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", testHeaderBytes) + "\r\n\r\n"
	for name, c := range map[string]struct {
		before string // sent at first
		after  string // sent once the first request is in work and the memory is used up
		status int
	}{
		"head too large, with the request":     {head + body + tooLarge, "", http.StatusRequestHeaderFieldsTooLarge},
		"empty lines":                          {head + body + "\r\n\r\n\r\n\r\n" + bad, "", http.StatusBadRequest},
		"no memory":                            {head + body, bad, http.StatusServiceUnavailable},
		"no memory, with the end of the body":  {head + "bo", "dy" + bad, http.StatusServiceUnavailable},
		"no memory, part of the head":          {head + "bo", "dy" + bad[:9], http.StatusServiceUnavailable},
		"no memory, with a chunk":              {head + "bo", "dy" + chunkedHead + "4", http.StatusServiceUnavailable},
		"no memory, two heads":                 {head + "bo", "dy" + bad + bad, http.StatusServiceUnavailable},
		"no memory, rest of the head":          {head + body + bad[:9], bad[9:], http.StatusServiceUnavailable},
		"no memory, head that is not complete": {head + body, bad[:9], http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			working, end := make(chan struct{}), make(chan struct{})
			s := newTestServer(t, callerbudget.Limits{Bytes: 1 << 20, Connections: 3}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/first" {
					t.Error("the refused request was served")
				}
				close(working)
				body, err := io.ReadAll(r.Body)
				if err != nil || string(body) != "body" {
					t.Errorf("body of the request in work: %q, %v", body, err)
				}
				select {
				case <-r.Context().Done():
					t.Error("the request in work was given up")
				case <-end:
				}
				_, _ = io.WriteString(w, "done")
			})
			conn := s.dial()
			_, err := io.WriteString(conn, c.before)
			require.NoError(t, err)
			<-working
			if c.after != "" {
				share := s.limiter.Share(callerbudget.Answer, "")
				used, _ := s.used()
				require.NoError(t, share.Grow(1<<20-used))
				defer share.Release()
				_, err = io.WriteString(conn, c.after)
				require.NoError(t, err)
			}
			<-time.After(20 * time.Millisecond) // a request that is given up is so by now, nearly always
			close(end)
			reader := bufio.NewReader(conn)
			response, body := readResponse(t, reader)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "done", body)
			response, body = readResponse(t, reader)
			require.Equal(t, c.status, response.StatusCode)
			require.Contains(t, body, `"run":"not_run"`)
			require.Equal(t, 1, s.metrics.refusals(), "counted once")
		})
	}
}

// refusals returns the number of all refusals.
func (m *testMetrics) refusals() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, count := range m.counts {
		sum += count
	}
	return sum
}

// TestBadBodyOfRequestInWork guards against a request in work that waits without end for the rest of a body whose
// framing has been refused.
func TestBadBodyOfRequestInWork(t *testing.T) {
	s := newTestServer(t, callerbudget.LimitsOf(0, 0), func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		if err == nil {
			t.Error("the body was taken for complete")
		}
		w.WriteHeader(http.StatusBadRequest)
	})
	conn := s.dial()
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n-1\r\n")
	require.NoError(t, err)
	response, _ := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, http.StatusBadRequest, response.StatusCode)
	rest, _ := io.ReadAll(conn) // a reset is allowed
	require.Empty(t, rest)
}
