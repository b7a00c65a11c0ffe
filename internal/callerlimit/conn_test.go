package callerlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

const (
	testHeaderBytes = 2000
	stepTimeout     = 20 * time.Second // limits each wait; not a check of speed
	// callerShortTimeout is a timeout that ends within a test. An answer must arrive before it on a kept connection.
	callerShortTimeout = 200 * time.Millisecond
)

// testMetrics counts refusals by reason.
type testMetrics struct {
	mu     sync.Mutex
	counts map[string]int
}

func (m *testMetrics) CallerLimited(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[reason]++
}

func (m *testMetrics) count(reason string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[reason]
}

// testServer is a server behind a limiter.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	metrics *testMetrics
	log     *memory.Handler
	address string
	// timeouts are those in force; zero for the defaults.
	timeouts atomic.Pointer[callerbudget.Timeouts]
}

func newTestServer(t *testing.T, limits callerbudget.Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{t: t, metrics: &testMetrics{counts: map[string]int{}}, log: memory.New()}
	timeouts, _ := callerbudget.TimeoutsOf(0, 0)
	s.timeouts.Store(&timeouts)
	s.limiter = New(Options{
		Limits: limits, HeaderBytes: func() int64 { return testHeaderBytes }, Metrics: s.metrics,
		Log:      &log.Logger{Handler: s.log, Level: log.InfoLevel},
		Clock:    func() time.Duration { return 0 },
		Timeouts: func() callerbudget.Timeouts { return *s.timeouts.Load() },
		EncodeRefusal: func(header http.Header, retryAfter float64) {
			if retryAfter > 0 {
				header.Set("Retry-After", fmt.Sprint(retryAfter))
			}
		},
	})
	source, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = source.Addr().String()
	server := &http.Server{Handler: handler}
	s.limiter.Configure(server)
	go func() { _ = server.Serve(s.limiter.Listen(source)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(stepTimeout)))
	return conn
}

// used returns the bytes and connections that are taken.
func (s *testServer) used() (int64, int) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.budget.Used(), s.limiter.budget.Connections()
}

func readResponse(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// ok answers a request, and admits it unless its path is /refused.
func ok(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/refused" {
		MarkAdmitted(r.Context())
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %d", r.URL.Path, Address(r.Context()), len(body))
}

// TestMemoryIsReturned guards against memory that stays taken after requests, or after a connection.
func TestMemoryIsReturned(t *testing.T) {
	s := newTestServer(t, callerbudget.LimitsOf(0, 0), ok)
	conn := s.dial()
	reader := bufio.NewReader(conn)
	const get, post = "GET /a HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n", "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n"
	for range 3 {
		_, err := io.WriteString(conn, get+post+strings.Repeat("\r\n", 2500)+get)
		require.NoError(t, err)
		for _, want := range []string{"/a 127.0.0.1 0", "/b 127.0.0.1 5000", "/a 127.0.0.1 0"} {
			response, body := readResponse(t, reader)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, want, body)
		}
		require.Eventually(t, func() bool {
			used, _ := s.used()
			return used == callerbudget.ConnectionBytes
		}, stepTimeout, time.Millisecond)
	}
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost") // a head that is not complete
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool {
		used, connections := s.used()
		return used == 0 && connections == 0
	}, stepTimeout, time.Millisecond)
}

// TestRefusalAfterAnswer guards against a refusal that is mixed with the answer of the request before it on the
// same connection, in whatever parts they arrive, and against a refused request that reaches the handler.
func TestRefusalAfterAnswer(t *testing.T) {
	const sound = "POST /sound HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	bad := "GET /bad HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", testHeaderBytes) + "\r\n\r\n"
	for _, part := range []int{len(sound) + len(bad), len(sound), 64} {
		s := newTestServer(t, callerbudget.LimitsOf(0, 0), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bad" {
				t.Error("the refused request was served")
			}
			ok(w, r)
		})
		conn := s.dial()
		text := sound + bad
		for len(text) > 0 {
			n := min(part, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				break // refused already
			}
			text = text[n:]
			<-time.After(2 * time.Millisecond)
		}
		reader := bufio.NewReader(conn)
		response, body := readResponse(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "/sound 127.0.0.1 4", body)
		response, body = readResponse(t, reader)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		require.True(t, response.Close)
		require.Contains(t, body, `"run":"not_run"`)
		rest, _ := io.ReadAll(reader) // a reset is allowed
		require.Empty(t, rest)
	}
}

// TestSilentConnectionsGiveWay guards against connections without a request that keep others out, and against
// connections with a request that are closed in favour of new ones.
func TestSilentConnectionsGiveWay(t *testing.T) {
	s := newTestServer(t, callerbudget.Limits{Bytes: 1 << 20, Connections: 3}, ok)
	kept := s.dial()
	reader := bufio.NewReader(kept)
	get := func(conn net.Conn, reader *bufio.Reader) {
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, _ := readResponse(t, reader)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	get(kept, reader)
	for range 20 {
		s.dial()
	}
	require.Eventually(t, func() bool { return s.metrics.count(reasonSilent) == 18 }, stepTimeout, time.Millisecond)
	get(kept, reader)
	other := s.dial()
	get(other, bufio.NewReader(other))
	another := s.dial()
	get(another, bufio.NewReader(another))
	response, body := readResponse(t, bufio.NewReader(s.dial()))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0.5", response.Header.Get("Retry-After"))
	require.Contains(t, body, "no_connections")
	get(kept, reader)
}

// TestRefusedConnectionsGiveWay guards against kept connections, on which nothing was admitted, that keep others out.
func TestRefusedConnectionsGiveWay(t *testing.T) {
	s := newTestServer(t, callerbudget.Limits{Bytes: 1 << 20, Connections: 3}, ok)
	get := func(conn net.Conn, path string) {
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, _ := readResponse(t, bufio.NewReader(conn))
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	idle := func(connections int) {
		require.Eventually(t, func() bool {
			s.limiter.mu.Lock()
			defer s.limiter.mu.Unlock()
			return s.limiter.silent.Len() == connections
		}, stepTimeout, time.Millisecond)
	}
	kept := s.dial()
	get(kept, "/a")
	for i := range 2 {
		get(s.dial(), "/refused")
		idle(i + 1)
	}
	get(s.dial(), "/a")
	get(s.dial(), "/a")
	get(kept, "/a")
	require.Equal(t, 2, s.metrics.count(reasonSilent))
	idle(0)
}

// TestHeadsWithoutMemory guards against heads that are parsed without memory for them, and against a log line for
// each refusal.
func TestHeadsWithoutMemory(t *testing.T) {
	s := newTestServer(t, callerbudget.Limits{Bytes: 4 * callerbudget.ConnectionBytes, Connections: 10}, ok)
	for range 5 {
		conn := s.dial()
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 400)+"\r\n")
		require.NoError(t, err)
		response, _ := readResponse(t, bufio.NewReader(conn))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
		require.NoError(t, conn.Close())
		// A connection that the server has not closed yet would be evicted for a later one, which is logged as well.
		require.Eventually(t, func() bool {
			used, connections := s.used()
			return used == 0 && connections == 0
		}, stepTimeout, time.Millisecond)
	}
	require.Equal(t, 5, s.metrics.count(string(callerbudget.NoMemory)))
	require.Zero(t, s.metrics.count(reasonSilent))
	require.Len(t, s.log.Entries, 1)
	conn := s.dial()
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, _ := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, http.StatusOK, response.StatusCode)
}
