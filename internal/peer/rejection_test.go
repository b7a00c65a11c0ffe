package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// TestRejectionsAreCounted guards against a log line for each connection that is not of a host, and against rejections that are
// not counted, such as those for lack of room.
func TestRejectionsAreCounted(t *testing.T) {
	clock, lines := clockwork.NewFakeClock(), memory.New()
	failed := 0
	n := New(Options{
		Self: core.Host{ID: "a"}, Session: "s", Key: []byte("key"), Clock: clock, Log: &log.Logger{Handler: lines, Level: log.InfoLevel},
		HandshakeFailed: func(string, error) { failed++ },
	})
	request := func() int {
		w := httptest.NewRecorder()
		n.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path, nil))
		return w.Code
	}
	for range 10 {
		require.Equal(t, http.StatusUpgradeRequired, request())
	}
	require.Len(t, lines.Entries, 1)
	clock.Advance(rejectionInterval)
	for range maxHandshakes {
		n.handshakes <- struct{}{}
	}
	require.Equal(t, http.StatusServiceUnavailable, request())
	require.Len(t, lines.Entries, 2)
	require.Equal(t, 10, lines.Entries[1].Fields["count"])
	require.Equal(t, 11, failed)
	require.Equal(t, uint64(11), n.Counters().FailedHandshakes)
}

// TestHandshakesOfAllHosts guards against a bound that hosts meet: 300 may link to one hub at once.
func TestHandshakesOfAllHosts(t *testing.T) {
	const hosts = 300
	require.GreaterOrEqual(t, maxHandshakes, hosts)
}

// TestAuthenticatedIsReported guards against connections that count as not authenticated while they are links, and against others that
// do not.
func TestAuthenticatedIsReported(t *testing.T) {
	authenticated := make(chan struct{}, 10)
	x := startEndpoint(t, "x", nil)
	y := startEndpoint(t, "y", func(o *Options) { o.Authenticated = func(*http.Request) { authenticated <- struct{}{} } })
	response, err := http.Get("http://" + y.host.PeerAddress + Path)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Empty(t, authenticated)
	x.SetPeers([]core.Host{y.host})
	select {
	case <-authenticated:
	case <-time.After(20 * time.Second):
		t.Fatal("not reported")
	}
}
