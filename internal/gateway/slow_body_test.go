package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// noLimitMetrics drops the counts of refused callers.
type noLimitMetrics struct{}

func (noLimitMetrics) CallerLimited(string) {}

// TestSlowBodyIsGivenUp guards against a caller that holds memory with a body that it does not complete: while memory is
// short it must get a refusal that says that the request has not run, and its memory must be free at once, but not before the
// body has stopped for BodyPause.
func TestSlowBodyIsGivenUp(t *testing.T) {
	const stepTimeout = 20 * time.Second // limits each wait; not a check of speed
	var now atomic.Int64
	limiter := callerlimit.New(callerlimit.Options{
		Limits: callerbudget.Limits{Bytes: 100000, Connections: 10}, Metrics: noLimitMetrics{}, Log: &log.Logger{Handler: discard.New()},
		Clock: func() time.Duration { return time.Duration(now.Load()) },
	})
	g := bodyGateway(testBodyLimit)
	g.options.Memory, g.buffers.memory = limiter, limiter
	server := httptest.NewServer(g)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: front\r\nTimeout: 30ms\r\nContent-Length: 60000\r\n\r\n"+strings.Repeat("x", 20000))
	require.NoError(t, err)
	fits := func() bool {
		other := limiter.Share(callerbudget.LargeBody, "")
		defer other.Release()
		return other.Grow(20000) == nil
	}
	require.Eventually(t, func() bool { return !fits() }, stepTimeout, time.Millisecond, "the body has taken memory")
	now.Store(int64(callerbudget.BodyPause - 1))
	require.False(t, fits(), "not given up yet")
	now.Store(int64(callerbudget.BodyPause))
	require.False(t, fits())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(stepTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.True(t, response.Close)
	require.Contains(t, string(body), `"run":"not_run"`)
	require.True(t, fits(), "the memory is free, though the connection is still open")
}

// TestSteadyBodyIsKept guards against a body that makes progress and is given up because it takes long.
func TestSteadyBodyIsKept(t *testing.T) {
	var now atomic.Int64
	limiter := callerlimit.New(callerlimit.Options{
		Limits: callerbudget.Limits{Bytes: 1000, Connections: 10}, Metrics: noLimitMetrics{}, Log: &log.Logger{Handler: discard.New()},
		Clock: func() time.Duration { return time.Duration(now.Load()) },
	})
	aborted := 0
	reading := limiter.StartReading("", func() { aborted++ })
	for range 100 {
		now.Add(int64(time.Second))
		reading.Receive(5000)
		limiter.Relieve()
	}
	reading.Hold()
	now.Add(int64(time.Minute))
	limiter.Relieve()
	reading.Resume()
	limiter.Relieve()
	require.Zero(t, aborted, fmt.Sprint(now.Load()))
	now.Add(int64(callerbudget.BodyPause))
	limiter.Relieve()
	require.Equal(t, 1, aborted)
	require.True(t, reading.End())
}
