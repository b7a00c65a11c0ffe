package callerlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// echoUpgraded answers a request by leaving HTTP, and then returns what it gets.
func echoUpgraded(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/peer" {
		defer Detach(r.Context())
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	go func() {
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\r\n")
		_, _ = io.Copy(conn, buffered)
	}()
}

// upgrade opens a connection that has left HTTP.
func (s *testServer) upgrade() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn := s.dial()
	_, err := io.WriteString(conn, "GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n\r\n")
	require.NoError(s.t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(s.t, err)
	require.Equal(s.t, http.StatusSwitchingProtocols, response.StatusCode)
	return conn, reader
}

// TestUpgradedConnection guards against bytes of a link that are taken for a head, a link that is closed as silent or idle, and
// memory or connections that stay taken after it.
func TestUpgradedConnection(t *testing.T) {
	s := newTestServer(t, callerbudget.Limits{Bytes: 1 << 20, Connections: 2}, echoUpgraded)
	s.setTimeouts(callerShortTimeout, callerShortTimeout)
	link, reader := s.upgrade()
	require.Eventually(t, func() bool {
		used, connections := s.used()
		return used == 0 && connections == 1
	}, stepTimeout, time.Millisecond)
	<-time.After(2 * callerShortTimeout)
	text := strings.Repeat("Content-Length: 1\r\nContent-Length: 2\r\n\r\n", testHeaderBytes)
	go func() { _, _ = io.WriteString(link, text) }()
	got := make([]byte, len(text))
	_, err := io.ReadFull(reader, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
	other, _ := s.upgrade()
	response, _ := readResponse(t, bufio.NewReader(s.dial())) // links are not closed in favour of a new connection
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NoError(t, link.Close())
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool {
		used, connections := s.used()
		return used == 0 && connections == 0
	}, stepTimeout, time.Millisecond)
}

// TestUnauthenticatedConnectionKeepsItsMemory guards against connections that take memory outside of the budget, though nobody knows
// yet whose they are.
func TestUnauthenticatedConnectionKeepsItsMemory(t *testing.T) {
	s := newTestServer(t, callerbudget.LimitsOf(0, 0), echoUpgraded)
	conn := s.dial()
	_, err := io.WriteString(conn, "GET /other HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusSwitchingProtocols, response.StatusCode)
	used, connections := s.used()
	require.EqualValues(t, callerbudget.ConnectionBytes, used)
	require.Equal(t, 1, connections)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool {
		used, connections := s.used()
		return used == 0 && connections == 0
	}, stepTimeout, time.Millisecond)
}

// TestThreeHundredLinks guards against limits that hosts meet which link to one hub: 300 links are up, and the hosts link again
// before the former links have ended.
func TestThreeHundredLinks(t *testing.T) {
	const hosts = 300
	s := newTestServer(t, callerbudget.Resources{Memory: 112 << 20, Descriptors: 3075}.Limits(callerbudget.Peers), echoUpgraded)
	for range hosts { // connected before any of them has sent its request
		s.dial()
	}
	for range 2 * hosts {
		s.upgrade()
	}
	require.Zero(t, s.metrics.count(string(callerbudget.NoConnections)))
	require.Zero(t, s.metrics.count(string(callerbudget.NoMemory)))
}
