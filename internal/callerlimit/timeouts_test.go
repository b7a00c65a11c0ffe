package callerlimit

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// setTimeouts sets the timeouts in force.
func (s *testServer) setTimeouts(header, idle time.Duration) {
	s.timeouts.Store(&callerbudget.Timeouts{Header: header, Idle: idle})
}

// requireClosed checks that the server closes a connection without an answer.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	rest, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// requireKept checks that a connection is still served.
func requireKept(t *testing.T, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, _ := readResponse(t, reader)
	require.False(t, response.Close)
}

// TestTimeoutsInForce guards against timeouts that stay as they were at the start: a changed value must apply to the
// heads and idle connections that begin after the change, and to no others.
func TestTimeoutsInForce(t *testing.T) {
	const short = callerShortTimeout
	s := newTestServer(t, callerbudget.LimitsOf(0, 0), ok)
	s.setTimeouts(time.Hour, time.Hour)
	idleBefore, headBefore := s.dial(), s.dial()
	idleReader := bufio.NewReader(idleBefore)
	requireKept(t, idleBefore, idleReader)
	_, err := io.WriteString(headBefore, "GET /a HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { // both have begun to wait
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		return s.limiter.budget.Used() > 2*callerbudget.ConnectionBytes && s.limiter.silent.Len() == 1
	}, stepTimeout, time.Millisecond)

	s.setTimeouts(short, time.Hour)
	requireClosed(t, s.dial()) // nothing is sent
	slow := s.dial()
	_, err = io.WriteString(slow, "GET /a HTTP/1.1\r\nHost: a\r\n")
	require.NoError(t, err)
	requireClosed(t, slow)
	later := s.dial()
	reader := bufio.NewReader(later)
	requireKept(t, later, reader)
	<-time.After(2 * short)
	requireKept(t, later, reader)
	_, err = io.WriteString(later, "GET /a HTTP/1.1\r\nHost: a\r\n") // a slow head after a request
	require.NoError(t, err)
	requireClosed(t, later)

	s.setTimeouts(time.Hour, short)
	idle := s.dial()
	requireKept(t, idle, bufio.NewReader(idle))
	requireClosed(t, idle)

	requireKept(t, idleBefore, idleReader)
	_, err = io.WriteString(headBefore, "Host: a\r\n\r\n")
	require.NoError(t, err)
	response, _ := readResponse(t, bufio.NewReader(headBefore))
	require.Equal(t, 200, response.StatusCode)
}

// TestPipelinedHeadHasHeaderTimeout guards against a head whose first part came with the request before, and which gets
// the longer idle time.
func TestPipelinedHeadHasHeaderTimeout(t *testing.T) {
	s := newTestServer(t, callerbudget.LimitsOf(0, 0), ok)
	s.setTimeouts(callerShortTimeout, time.Hour)
	conn := s.dial()
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, _ := readResponse(t, reader)
	require.Equal(t, 200, response.StatusCode)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// TestHandlerDeadlineIsKept guards against a deadline of the gateway that is taken for one of the server.
func TestHandlerDeadlineIsKept(t *testing.T) {
	l := newTestServer(t, callerbudget.LimitsOf(0, 0), ok)
	l.setTimeouts(time.Hour, time.Hour)
	conn, other := net.Pipe()
	defer other.Close()
	c := newConn(conn, l.limiter)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}
