package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/routetable"
	"siskintide.example/siskintide/internal/edgecontrol"
)

const testBodyLimit = 1 << 20

// viewController is a Controller of a host that knows a configuration without routes.
type viewController struct{ Controller }

func (viewController) View() *edgecontrol.View {
	config := &core.RoutingConfig{Limits: core.CallerLimits{BodyBytes: testBodyLimit}}
	return &edgecontrol.View{Table: &routetable.Table{Config: config}}
}

// plainCodec reads the caller's timeout and nothing else.
type plainCodec struct{ Codec }

func (plainCodec) DecodeRequest(header http.Header) (Request, error) {
	timeout, err := time.ParseDuration(header.Get("Timeout"))
	return Request{ID: "request", Timeout: timeout}, err
}

func (plainCodec) DecodePrefix(http.Header) Prefix { return Prefix{} }

func (plainCodec) EncodeRefusal(http.Header, float64) {}

// noMetrics drops all measurements.
type noMetrics struct{ Metrics }

func (noMetrics) Refused(core.TeamID, core.Class, core.RefusalKind) {}

func bodyGateway(memory int64) *Gateway {
	return New(Options{
		Controller: viewController{}, Codec: plainCodec{}, Metrics: noMetrics{}, Log: &log.Logger{Handler: discard.New()},
		Clock: boottime.Now, Stopping: context.Background(), BodyMemory: memory,
	})
}

// TestReadBody guards against bodies that are cut, taken although they are too large, or read without room
// for them in memory.
func TestReadBody(t *testing.T) {
	const large = 3 * smallBodyBytes
	for name, c := range map[string]struct {
		size, memory int64
		chunked      bool
		want         core.RefusalKind
		reserved     int64
	}{
		"empty":                               {0, 0, false, "", 0},
		"small, no memory":                    {smallBodyBytes, 0, false, "", 0},
		"small, in chunks, no memory":         {smallBodyBytes, 0, true, "", 0},
		"large":                               {large, large, false, "", large},
		"large, no memory":                    {large, large - 1, false, core.RefusedNoCapacity, 0},
		"large, in chunks":                    {large, testBodyLimit, true, "", testBodyLimit},
		"large, in chunks, no memory":         {large, testBodyLimit - 1, true, core.RefusedNoCapacity, 0},
		"as large as allowed":                 {testBodyLimit, testBodyLimit, false, "", testBodyLimit},
		"as large as allowed, in chunks":      {testBodyLimit, testBodyLimit, true, "", testBodyLimit},
		"larger than allowed":                 {testBodyLimit + 1, 0, false, core.RefusedTooLarge, 0},
		"larger than allowed, in chunks":      {testBodyLimit + 1, testBodyLimit, true, core.RefusedTooLarge, testBodyLimit},
		"much larger than allowed, in chunks": {3 * testBodyLimit, testBodyLimit, true, core.RefusedTooLarge, testBodyLimit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body := bytes.Repeat([]byte("0123456789abcdef"), int(c.size)/16+1)[:c.size]
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(bytes.NewReader(body)))
			r.ContentLength = c.size
			if c.chunked {
				r.ContentLength = -1
			}
			g := bodyGateway(c.memory)
			h := &requestHandler{gateway: g, r: r, log: g.options.Log, request: Request{Timeout: 60 * time.Millisecond}}
			refusal := h.readBody(testBodyLimit)
			if c.want == "" {
				require.Nil(t, refusal)
				require.True(t, bytes.Equal(body, h.body))
			} else {
				require.Equal(t, c.want, refusal.Kind)
				require.Equal(t, core.NotRun, refusal.Run)
			}
			require.Equal(t, c.reserved, h.reserved)
			h.releaseBody()
			require.True(t, g.bodies.TryAcquire(c.memory), "not released")
		})
	}
}

// TestLargeBodyWaitsForRoom guards against a large body that is refused although room for it is free soon.
func TestLargeBodyWaitsForRoom(t *testing.T) {
	g := bodyGateway(testBodyLimit)
	require.True(t, g.bodies.TryAcquire(testBodyLimit))
	time.AfterFunc(20*time.Millisecond, func() { g.bodies.Release(testBodyLimit) })
	h := &requestHandler{gateway: g, r: httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", testBodyLimit))), log: g.options.Log}
	require.Nil(t, h.readBody(testBodyLimit))
	require.Len(t, h.body, testBodyLimit)
}

// TestRefusalReachesCallerThatStillSends guards against a refusal that is lost because the connection is
// closed while its caller still sends the body.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	server := httptest.NewServer(bodyGateway(0))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: front\r\nTimeout: 30ms\r\nContent-Length: %d\r\n\r\n", testBodyLimit)
	require.NoError(t, err)
	for range testBodyLimit / smallBodyBytes {
		<-time.After(45 * time.Millisecond) // longer together than net/http waits before it closes
		_, err = io.WriteString(conn, strings.Repeat("x", smallBodyBytes))
		require.NoError(t, err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Contains(t, string(body), `"run":"not_run"`)
}
