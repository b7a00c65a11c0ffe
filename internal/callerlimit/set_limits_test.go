package callerlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// TestSetLimits guards against smaller limits that close what is open or in work, that admit new connections before enough was
// returned, or that close silent connections without making room; and against larger limits that do not apply at once.
func TestSetLimits(t *testing.T) {
	const kept = 3
	entered, leave := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, callerbudget.Limits{Bytes: 1 << 20, Connections: kept + 1}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/work" {
			entered <- struct{}{}
			<-leave
		}
		ok(w, r)
	})
	var conns []net.Conn
	var readers []*bufio.Reader
	for i := range kept {
		conns = append(conns, s.dial())
		readers = append(readers, bufio.NewReader(conns[i]))
		requireKept(t, conns[i], readers[i])
	}
	_, err := io.WriteString(conns[0], "GET /work HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-entered
	silent := s.dial()
	require.Eventually(t, func() bool { // accepted before the limits change
		_, connections := s.used()
		return connections == kept+1
	}, stepTimeout, time.Millisecond)
	s.limiter.SetLimits(callerbudget.Limits{Bytes: callerbudget.ConnectionBytes, Connections: 1})
	response, _ := readResponse(t, bufio.NewReader(s.dial()))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, s.metrics.count(reasonSilent))
	close(leave)
	response, _ = readResponse(t, readers[0])
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.False(t, response.Close)
	s.limiter.SetLimits(callerbudget.Limits{Bytes: 1 << 20, Connections: kept + 2})
	for i := range kept {
		requireKept(t, conns[i], readers[i])
	}
	requireKept(t, silent, bufio.NewReader(silent))
	added := s.dial()
	requireKept(t, added, bufio.NewReader(added))
}
